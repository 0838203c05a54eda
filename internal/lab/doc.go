// Package lab runs the emulator with many seeds in parallel and formats the results as tables. It owns the columns of these
// tables and the comparison of two of them. It also writes files atomically.
package lab
