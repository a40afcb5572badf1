package carrier

import "io"

// headReader looks for a folded line in the heads that are read through it: a line that begins with a blank and so continues
// the line before. HTTP/1.1 forbids to send one, and package net/http joins the two without a trace. The name of a field that
// begins with a blank looks the same, and would end up in the value of another field.
type headReader struct {
	source io.Reader
	inHead bool
	// last and beforeLast are the latest bytes of the head.
	last, beforeLast byte
	folded           bool
}

// begin starts a head, of which some bytes have been read already.
func (h *headReader) begin(read []byte) {
	*h = headReader{source: h.source, inHead: true}
	h.scan(read)
}

func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.source.Read(p)
	h.scan(p[:n])
	return n, err
}

// scan looks at bytes up to the end of the head.
func (h *headReader) scan(p []byte) {
	for _, b := range p {
		if !h.inHead {
			return
		}
		h.scanByte(b)
	}
}

func (h *headReader) scanByte(b byte) {
	lineStarts := h.last == '\n'
	emptyLine := lineStarts || h.last == '\r' && h.beforeLast == '\n'
	switch {
	case lineStarts && (b == ' ' || b == '\t'):
		h.folded = true
	case emptyLine && b == '\n':
		h.inHead = false
	}
	h.last, h.beforeLast = b, h.last
}
