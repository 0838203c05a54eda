package emulator

import "slices"

// timedLimit is a limit that faults change for a time. Of several faults in force the one that began last sets it; once all
// have ended, it has its normal value again.
type timedLimit struct {
	normal float64
	faults []*float64 // values of the faults in force, in the order in which they began
}

// value returns the limit at present.
func (l *timedLimit) value() float64 {
	if len(l.faults) == 0 {
		return l.normal
	}
	return *l.faults[len(l.faults)-1]
}

// change lets a fault set the limit, and returns the function that ends the fault.
func (l *timedLimit) change(value float64) (end func()) {
	fault := &value
	l.faults = append(l.faults, fault)
	return func() {
		l.faults = slices.DeleteFunc(l.faults, func(f *float64) bool { return f == fault })
	}
}
