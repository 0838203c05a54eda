package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	// significantDigits is the number of significant digits of a figure on the page.
	significantDigits = 3
	// multipleThreshold is the smallest ratio that formatRatio writes as a multiple.
	multipleThreshold = 10
)

// formatNumber formats a figure with three significant digits and commas between thousands.
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

// groupThousands inserts commas into the integer part of a decimal number.
func groupThousands(text string) string {
	whole, fraction, hasFraction := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign = "-"
		whole = whole[1:]
	}
	var groups []string
	for len(whole) > 3 {
		groups = append([]string{whole[len(whole)-3:]}, groups...)
		whole = whole[:len(whole)-3]
	}
	whole = sign + strings.Join(append([]string{whole}, groups...), ",")
	if hasFraction {
		return whole + "." + fraction
	}
	return whole
}

// formatIn formats a figure with its unit. Bytes and times are scaled to the unit that is easiest to read.
func formatIn(x float64, unit string) string {
	switch unit {
	case "B", "B/s":
		return formatBytes(x, unit)
	case "us/s":
		return formatNumber(x/1e4) + "% of a core"
	case "us":
		return formatMicroseconds(x)
	case "s":
		return formatSeconds(x)
	case "1":
		return formatNumber(x)
	case "1/s":
		return formatNumber(x) + " a second"
	}
	return formatNumber(x) + " " + unit
}

// bytePrefixes are the decimal prefixes of formatBytes in descending order.
var bytePrefixes = []struct {
	factor float64
	prefix string
}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}}

func formatBytes(x float64, unit string) string {
	for _, step := range bytePrefixes {
		if math.Abs(x) >= step.factor {
			return formatNumber(x/step.factor) + " " + step.prefix + unit
		}
	}
	return formatNumber(x) + " " + unit
}

func formatMicroseconds(x float64) string {
	size := math.Abs(x)
	if size >= 1e6 {
		return formatNumber(x/1e6) + " s"
	}
	if size >= 1e3 {
		return formatNumber(x/1e3) + " ms"
	}
	return formatNumber(x) + " us"
}

func formatSeconds(x float64) string {
	size := math.Abs(x)
	if size < 1e-3 && size > 0 {
		return formatNumber(x*1e6) + " us"
	}
	if size < 1 {
		return formatNumber(x*1e3) + " ms"
	}
	return formatNumber(x) + " s"
}

// formatPercent formats a ratio as a percentage.
func formatPercent(ratio float64) string { return formatNumber(100*ratio) + "%" }

// formatRatio formats a ratio as a percentage, or as a multiple if it is at least multipleThreshold.
func formatRatio(ratio float64) string {
	if ratio >= multipleThreshold {
		return formatNumber(ratio) + " times"
	}
	return formatPercent(ratio)
}

// markdownTable returns a Markdown table. It escapes column separators in the cells.
func markdownTable(header []string, rows [][]string) string {
	var table strings.Builder
	fmt.Fprintf(&table, "| %s |\n|%s\n", strings.Join(header, " | "), strings.Repeat("---|", len(header)))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = strings.ReplaceAll(cell, "|", "\\|")
		}
		fmt.Fprintf(&table, "| %s |\n", strings.Join(cells, " | "))
	}
	return table.String()
}
