package figures

import (
	"bufio"
	"bytes"
	"fmt"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	dateLayout      = "2006-01-02 15:04 UTC"
	unknownRevision = "unknown"
	// valueSeparator separates the different values of a key in a table that was assembled from several runs.
	valueSeparator = " / "
)

// Provenance states how the figures of a table were measured. Parse rejects a table in which one of the fields is zero.
type Provenance struct {
	Command  string // Command is the command line of the measurement.
	Revision string // Revision is the git commit, followed by "-dirty" if the working tree had changes.
	Date     string // Date is the start time of the run in UTC.
	Cores    int    // Cores is the number of logical CPUs of the machine.
	Machine  string // Machine describes the machine and its other load during the run.
	Repeats  int    // Repeats is the number of repeats of each measurement.
}

// NewProvenance returns the provenance of a run that starts now in the current checkout.
func NewProvenance(command, machine string, repeats int) Provenance {
	return Provenance{
		Command:  command,
		Revision: currentRevision(),
		Date:     time.Now().UTC().Format(dateLayout),
		Cores:    runtime.NumCPU(),
		Machine:  machine,
		Repeats:  repeats,
	}
}

// currentRevision returns the git commit of the working directory, or unknownRevision outside a checkout.
func currentRevision() string {
	output, err := exec.Command("git", "describe", "--always", "--dirty", "--exclude=*").Output()
	if err != nil {
		return unknownRevision
	}
	return strings.TrimSpace(string(output))
}

// provenanceEntry is one comment line of a table.
type provenanceEntry struct{ key, value string }

// entries returns the provenance's comment lines in the order in which they are written.
func (p Provenance) entries() []provenanceEntry {
	return []provenanceEntry{
		{"command", p.Command},
		{"revision", p.Revision},
		{"date", p.Date},
		{"cores", strconv.Itoa(p.Cores)},
		{"machine", p.Machine},
		{"repeats", strconv.Itoa(p.Repeats)},
	}
}

// parseProvenance reads the comment lines at the beginning of a table.
func parseProvenance(text []byte) (Provenance, error) {
	var provenance Provenance
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		comment, found := strings.CutPrefix(lines.Text(), commentPrefix)
		if !found {
			break
		}
		key, value, _ := strings.Cut(comment, ":")
		key = strings.TrimSpace(key)
		err := provenance.set(key, strings.TrimSpace(value))
		if err != nil {
			return Provenance{}, fmt.Errorf("reading provenance %s: %w", key, err)
		}
	}
	if err := lines.Err(); err != nil {
		return Provenance{}, fmt.Errorf("reading provenance: %w", err)
	}
	return provenance, nil
}

// set stores the value of one comment line. It ignores unknown keys, which are remarks. In a table that was assembled from
// several runs, keys occur more than once: set joins different texts and keeps the last number.
func (p *Provenance) set(key, value string) error {
	var err error
	switch key {
	case "command":
		p.Command = joinDistinct(p.Command, value)
	case "revision":
		p.Revision = joinDistinct(p.Revision, value)
	case "date":
		p.Date = joinDistinct(p.Date, value)
	case "cores":
		p.Cores, err = strconv.Atoi(value)
	case "machine":
		p.Machine = joinDistinct(p.Machine, value)
	case "repeats":
		p.Repeats, err = strconv.Atoi(value)
	}
	return err
}

// joinDistinct appends a value to the joined values unless they already contain it.
func joinDistinct(values, value string) string {
	if values == "" {
		return value
	}
	if slices.Contains(strings.Split(values, valueSeparator), value) {
		return values
	}
	return values + valueSeparator + value
}

// missing returns the first key that has no value, or "" if the provenance is complete.
func (p Provenance) missing() string {
	for _, entry := range p.entries() {
		if entry.value == "" || entry.value == "0" {
			return entry.key
		}
	}
	return ""
}
