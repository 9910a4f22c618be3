package answercheck

import "strings"

// headState is what the next byte of a head belongs to.
type headState int

const (
	inStatusLine headState = iota
	atLineStart
	inFieldName
	inFieldValue
	// inLineEnd expects the line feed after a carriage return.
	inLineEnd
	// inHeadEnd expects the line feed after the carriage return of the empty line.
	inHeadEnd
	headDone
)

const (
	// statusLineStart is as long as the version, a blank and the status.
	statusLineStart = len("HTTP/1.1 200")
	// longestFramingName is the length of the longest field name that is looked at.
	longestFramingName = len("transfer-encoding")
	maxStatus          = 599
)

// headScanner checks the heads of one exchange byte by byte: interim ones, and the final one. Its zero value is before the first byte.
type headScanner struct {
	state headState
	size  int
	// line is the beginning of the status line, or of the name of the current field in lower case.
	line   []byte
	status int
	// lengths and encodings count the fields that frame the body. old is true for a head of HTTP/1.0.
	lengths, encodings int
	old                bool
}

func (h *headScanner) done() bool { return h.state == headDone }

// scan takes in the next bytes, as far as they belong to heads. It returns why the answer can't be used, or "".
func (h *headScanner) scan(data []byte) Reason {
	for _, b := range data {
		if h.size++; h.size > MaxHeadBytes {
			return ReasonHeadSize
		}
		if reason := h.next(b); reason != "" || h.done() {
			return reason
		}
	}
	return ""
}

func (h *headScanner) next(b byte) Reason {
	switch h.state {
	case inStatusLine:
		return h.statusLine(b)
	case atLineStart:
		switch b {
		case '\r':
			h.state = inHeadEnd
			return ""
		case '\n':
			return h.endHead()
		}
		h.line, h.state = h.line[:0], inFieldName
		return h.fieldName(b)
	case inFieldName:
		return h.fieldName(b)
	case inFieldValue:
		return h.fieldValue(b)
	case inLineEnd:
		if b != '\n' {
			return ReasonFieldValue
		}
		h.state = atLineStart
	case inHeadEnd:
		if b != '\n' {
			return ReasonFieldName
		}
		return h.endHead()
	}
	return ""
}

// statusLine takes in a byte of the status line.
func (h *headScanner) statusLine(b byte) Reason {
	if len(h.line) < statusLineStart {
		h.line = append(h.line, b)
		if len(h.line) < statusLineStart {
			return ""
		}
		return h.parseStatus()
	}
	switch {
	case b == '\n':
		h.state = atLineStart
	case b == '\r':
		h.state = inLineEnd
	case len(h.line) == statusLineStart && b != ' ':
		return ReasonStatusLine
	case !isText(b):
		return ReasonStatusLine
	default:
		// The reason phrase follows the blank.
		h.line = append(h.line[:statusLineStart], b)
	}
	return ""
}

func (h *headScanner) parseStatus() Reason {
	version, digits := string(h.line[:len("HTTP/1.1 ")]), h.line[len("HTTP/1.1 "):]
	if version != "HTTP/1.1 " && version != "HTTP/1.0 " {
		return ReasonStatusLine
	}
	h.old = version == "HTTP/1.0 "
	h.status = 0
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return ReasonStatusLine
		}
		h.status = 10*h.status + int(digit-'0')
	}
	// No request asks for another protocol.
	if h.status < 100 || h.status == 101 || h.status > maxStatus {
		return ReasonStatus
	}
	return ""
}

// fieldName takes in a byte of a line before its colon. A line that begins with a blank would be joined to the one before.
func (h *headScanner) fieldName(b byte) Reason {
	if b != ':' {
		if !isToken(b) {
			return ReasonFieldName
		}
		if len(h.line) <= longestFramingName {
			h.line = append(h.line, lower(b))
		}
		return ""
	}
	switch string(h.line) {
	case "":
		return ReasonFieldName
	case "content-length":
		h.lengths++
	case "transfer-encoding":
		h.encodings++
	}
	h.state = inFieldValue
	return ""
}

func (h *headScanner) fieldValue(b byte) Reason {
	switch {
	case b == '\n':
		h.state = atLineStart
	case b == '\r':
		h.state = inLineEnd
	case !isText(b):
		return ReasonFieldValue
	}
	return ""
}

// endHead is called at the end of the empty line.
func (h *headScanner) endHead() Reason {
	if h.lengths+h.encodings > 1 || h.old && h.encodings > 0 {
		return ReasonFraming
	}
	if h.status >= 200 {
		h.state = headDone
		return ""
	}
	*h = headScanner{size: h.size, line: h.line[:0]}
	return ""
}

// isText reports whether a byte may stand in a field's value or a reason phrase.
func isText(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }

// isToken reports whether a byte may stand in a field's name.
func isToken(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
