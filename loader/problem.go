package loader

import (
	"fmt"
	"strings"
)

// Problem is one error of a document.
type Problem struct {
	// Path is the path of the field, such as "peers[2].address". It is empty for the document as a whole.
	Path string
	// Value describes the invalid value, such as `the string "x"`.
	Value string
	// Allowed describes the allowed values.
	Allowed string
	// Line is the line of the value in the document, from 1, or zero when the document doesn't mention the field.
	Line int
}

// String returns the problem in one line.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "document"
	}
	text := fmt.Sprintf("%s is %s; allowed: %s", path, p.Value, p.Allowed)
	if p.Line > 0 {
		text = fmt.Sprintf("line %d: %s", p.Line, text)
	}
	return text
}

// Problems is the error of a document that could not be decoded or is invalid. It holds every problem found, sorted by
// line, followed by those of fields that the document doesn't mention.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// within reports whether path equals other or lies below it.
func within(path, other string) bool {
	rest, found := strings.CutPrefix(path, other)
	return found && (rest == "" || other == "" || rest[0] == '.' || rest[0] == '[')
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
