package validator

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"hibiscusline/loader"
)

// Parse decodes a configuration document, which is JSON with comments, and validates it. The error, if any, is of type
// Problems and holds both the decoding errors and the validation errors.
func Parse(data []byte) (Configuration, error) {
	var c Configuration
	var decodeProblems loader.Problems
	if err := loader.Decode(data, &c); err != nil && !errors.As(err, &decodeProblems) {
		return Configuration{}, err
	}
	problems := convertProblems(c, decodeProblems)
	var checked Problems
	if err := Check(c); err != nil && !errors.As(err, &checked) {
		return Configuration{}, err
	}
	converted := problems
	for _, p := range checked {
		if !slices.ContainsFunc(converted, func(d Problem) bool { return explains(d, p) }) {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		return Configuration{}, problems
	}
	return c, nil
}

// Encode returns a configuration as indented JSON that Parse reads back.
func Encode(c Configuration) ([]byte, error) {
	if c.Services == nil {
		c.Services = map[string]Service{}
	}
	if c.Ranks == nil {
		c.Ranks = map[string]Rank{}
	}
	c.Rules = append([]Rule{}, c.Rules...)
	c.Policy.Operators = append([]string{}, c.Policy.Operators...)
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(c); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return b.Bytes(), nil
}

// kindBySection maps the sections of a document to the kinds of their objects.
var kindBySection = map[string]string{
	"services": "service", "ranks": "rank", "rules": "rule", "key_ranges": "key_range", "placements": "placement",
}

// convertProblems converts decoding problems, which have paths, to problems of the objects at these paths.
func convertProblems(c Configuration, decodeProblems loader.Problems) Problems {
	var problems Problems
	for _, p := range decodeProblems {
		object, field := objectAt(c, p.Path)
		problems = append(problems, Problem{Object: object, Field: field, Value: p.Value, Allowed: p.Allowed, Line: p.Line})
	}
	return problems
}

// objectAt returns the object and the field that a path of a document refers to.
func objectAt(c Configuration, path string) (object, field string) {
	if rest, ok := strings.CutPrefix(path, "rules["); ok {
		number, rest, _ := strings.Cut(rest, "]")
		if index, err := strconv.Atoi(number); err == nil && index < len(c.Rules) {
			return ruleObject(index, c.Rules[index]), strings.TrimPrefix(rest, ".")
		}
	}
	section, rest, nested := strings.Cut(path, ".")
	if kind, ok := kindBySection[section]; ok && nested {
		name, field, _ := strings.Cut(rest, ".")
		return kind + " " + name, field
	}
	if section == "policy" {
		return "policy", rest
	}
	return "configuration", path
}

// explains reports whether validation problem p follows from decoding problem d: it concerns the same field, or it is a
// reference to an object of a section that could not be decoded.
func explains(d, p Problem) bool {
	switch {
	case d.Object == "configuration" && d.Field == "":
		return true
	case d.Object == "configuration":
		return p.Field == d.Field || kindBySection[d.Field] == p.Field
	case d.Object != p.Object:
		return false
	}
	field, _, _ := strings.Cut(d.Field, "[")
	return field == "" || field == p.Field
}
