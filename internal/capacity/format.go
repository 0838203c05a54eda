package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

const significantDigits = 3 // digits of a figure on the page

// formatNumber writes a figure with three significant digits, its thousands apart.
func formatNumber(x float64) string {
	if x == 0 || math.IsInf(x, 0) || math.IsNaN(x) {
		return strconv.FormatFloat(x, 'g', -1, 64)
	}
	digits := significantDigits - 1 - int(math.Floor(math.Log10(math.Abs(x))))
	text := strconv.FormatFloat(x, 'f', max(digits, 0), 64)
	if digits < 0 {
		scale := math.Pow(10, float64(-digits))
		text = strconv.FormatFloat(math.Round(x/scale)*scale, 'f', 0, 64)
	}
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return groupThousands(text)
}

// groupThousands sets commas into the whole part of a number.
func groupThousands(text string) string {
	whole, rest, found := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	var parts []string
	for len(whole) > 3 {
		parts = append([]string{whole[len(whole)-3:]}, parts...)
		whole = whole[:len(whole)-3]
	}
	whole = strings.Join(append([]string{whole}, parts...), ",")
	if found {
		return sign + whole + "." + rest
	}
	return sign + whole
}

// formatIn writes a figure in its unit, or a larger one.
func formatIn(x float64, unit string) string {
	size := math.Abs(x)
	switch unit {
	case "B", "B/s":
		for _, step := range []struct {
			from   float64
			prefix string
		}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
			if size >= step.from {
				return formatNumber(x/step.from) + " " + step.prefix + unit
			}
		}
	case "us/s":
		return formatNumber(x/1e4) + "% of a core"
	case "us":
		if size >= 1e6 {
			return formatNumber(x/1e6) + " s"
		}
		if size >= 1e3 {
			return formatNumber(x/1e3) + " ms"
		}
	case "s":
		if size < 1e-3 && size > 0 {
			return formatNumber(x*1e6) + " us"
		}
		if size < 1 {
			return formatNumber(x*1e3) + " ms"
		}
	case "1":
		return formatNumber(x)
	case "1/s":
		return formatNumber(x) + " a second"
	}
	return formatNumber(x) + " " + unit
}

// formatPercent writes a part.
func formatPercent(part float64) string { return formatNumber(100*part) + "%" }

// formatRatio writes a part, or how many times as much it is where that is much.
func formatRatio(part float64) string {
	if part >= 10 {
		return formatNumber(part) + " times"
	}
	return formatPercent(part)
}

// markdownTable writes a table.
func markdownTable(head []string, rows [][]string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat("---|", len(head)))
	for _, row := range rows {
		for i, cell := range row {
			row[i] = strings.ReplaceAll(cell, "|", "\\|")
		}
		fmt.Fprintf(&out, "| %s |\n", strings.Join(row, " | "))
	}
	return out.String()
}
