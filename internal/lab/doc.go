// Package lab runs the emulator with many seeds at the same time and makes tables of the results. It owns the columns of
// these tables and the comparison of two of them, and it writes files in one step. It simulates nothing itself.
package lab
