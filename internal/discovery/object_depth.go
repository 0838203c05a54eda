package discovery

// objectDepth follows JSON text byte by byte and knows how deep in objects and arrays it is. It does not check the text.
// The zero value is the state before the first byte.
type objectDepth struct {
	depth    int
	inString bool
	escaped  bool // the last byte was a backslash in a string
}

// advance takes over some more text.
func (d *objectDepth) advance(text []byte) {
	for _, b := range text {
		d.advanceByte(b)
	}
}

func (d *objectDepth) advanceByte(b byte) {
	switch {
	case d.escaped:
		d.escaped = false
	case d.inString:
		d.escaped = b == '\\'
		d.inString = b != '"'
	case b == '"':
		d.inString = true
	case b == '{' || b == '[':
		d.depth++
	case b == '}' || b == ']':
		d.depth--
	}
}

// between reports whether the text so far has ended all objects that it began.
func (d *objectDepth) between() bool { return d.depth <= 0 && !d.inString }
