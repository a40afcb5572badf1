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

// Parse reads a configuration document, which is JSON with comments, and checks it. The error, if any, is of type
// Problems and holds the errors of the text and those of the objects together.
func Parse(data []byte) (Configuration, error) {
	var c Configuration
	var unread loader.Problems
	if err := loader.Decode(data, &c); err != nil && !errors.As(err, &unread) {
		return Configuration{}, err
	}
	problems := translate(c, unread)
	var checked Problems
	if err := Check(c); err != nil && !errors.As(err, &checked) {
		return Configuration{}, err
	}
	text := problems
	for _, p := range checked {
		if !slices.ContainsFunc(text, func(t Problem) bool { return causes(t, p) }) {
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

// sections maps the sections of a document to the kinds of their objects.
var sections = map[string]string{
	"services": "service", "ranks": "rank", "rules": "rule", "key_ranges": "key_range", "placements": "placement",
}

// translate names the objects that problems of the text belong to.
func translate(c Configuration, unread loader.Problems) Problems {
	var problems Problems
	for _, u := range unread {
		object, field := locate(c, u.Path)
		problems = append(problems, Problem{Object: object, Field: field, Value: u.Value, Allowed: u.Allowed, Line: u.Line})
	}
	return problems
}

func locate(c Configuration, path string) (object, field string) {
	if rest, ok := strings.CutPrefix(path, "rules["); ok {
		number, rest, _ := strings.Cut(rest, "]")
		if index, err := strconv.Atoi(number); err == nil && index < len(c.Rules) {
			return ruleObject(index, c.Rules[index]), strings.TrimPrefix(rest, ".")
		}
	}
	section, rest, nested := strings.Cut(path, ".")
	if kind, ok := sections[section]; ok && nested {
		name, field, _ := strings.Cut(rest, ".")
		return kind + " " + name, field
	}
	if section == "policy" {
		return "policy", rest
	}
	return "configuration", path
}

// causes reports whether problem p of a check follows from problem t of the text: it concerns the same field, or it is
// a reference to an object of a section that could not be read.
func causes(t, p Problem) bool {
	switch {
	case t.Object == "configuration" && t.Field == "":
		return true
	case t.Object == "configuration":
		return p.Field == t.Field || sections[t.Field] == p.Field
	case t.Object != p.Object:
		return false
	}
	field, _, _ := strings.Cut(t.Field, "[")
	return field == "" || field == p.Field
}
