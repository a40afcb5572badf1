package loader

import (
	"cmp"
	"encoding"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Limits of a document. The parser recurses once per level of nesting, so that an unlimited document could exhaust the
// stack, which terminates a Go process.
const (
	MaxDocumentBytes = 8 << 20
	maxDepth         = 64
)

// Decode decodes a document into the value that into points to. Fields that the document doesn't mention keep their
// values. Every value that implements interface{ Check() []Problem } is checked after decoding; the paths of its
// problems are relative to the value. An error in the document is of type Problems; into is then only partly filled.
func Decode(data []byte, into any) error {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return errors.Errorf("decode into %T: not a pointer to a value", into)
	}
	if problem, found := checkSize(data); found {
		return Problems{problem}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		message := strings.TrimPrefix(err.Error(), "hujson: ")
		return Problems{{Value: "not JSON with comments (" + message + ")", Allowed: "one JSON value, with comments"}}
	}
	d := &decoder{newlines: newlines(data), lines: map[string]int{}}
	d.decode("", &root, target.Elem())
	d.check("", target.Elem())
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.sortKey(), b.sortKey()) })
	return d.problems
}

// sortKey returns the line of the problem, or for a problem without a line a number behind all lines.
func (p Problem) sortKey() int {
	if p.Line == 0 {
		return MaxDocumentBytes + 1
	}
	return p.Line
}

// DecodeFile decodes the document in the file at path, like Decode. Its errors contain the path.
func DecodeFile(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return errors.Wrap(Decode(data, into), path)
}

type decoder struct {
	// newlines holds the offsets of all newlines of the document.
	newlines []int
	problems Problems
	// lines maps the paths of the document to their lines, counted from 1.
	lines map[string]int
}

func newlines(data []byte) []int {
	var offsets []int
	for i, c := range data {
		if c == '\n' {
			offsets = append(offsets, i)
		}
	}
	return offsets
}

func (d *decoder) line(v *hujson.Value) int {
	before, _ := slices.BinarySearch(d.newlines, v.StartOffset)
	return 1 + before
}

func (d *decoder) report(path, value, allowed string) {
	d.problems = append(d.problems, Problem{Path: path, Value: value, Allowed: allowed, Line: d.lines[path]})
}

func (d *decoder) decode(path string, from *hujson.Value, into reflect.Value) {
	d.lines[path] = d.line(from)
	if into.Kind() == reflect.Pointer {
		into.Set(reflect.New(into.Type().Elem()))
		into = into.Elem()
	}
	switch {
	case into.Type() == durationType:
		d.decodeDuration(path, from, into)
	case implementsText(into):
		d.decodeText(path, from, into)
	default:
		d.decodeKind(path, from, into)
	}
}

func implementsText(v reflect.Value) bool {
	return v.CanAddr() && v.Addr().Type().Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func (d *decoder) decodeKind(path string, from *hujson.Value, into reflect.Value) {
	switch into.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, from, into)
	case reflect.Map:
		d.decodeMap(path, from, into)
	case reflect.Slice:
		d.decodeSlice(path, from, into)
	default:
		d.decodeScalar(path, from, into)
	}
}

// members returns the members of an object and reports duplicate names.
func (d *decoder) members(path string, from *hujson.Value) ([]hujson.ObjectMember, bool) {
	object, ok := from.Value.(*hujson.Object)
	if !ok {
		d.report(path, describe(from), "an object")
		return nil, false
	}
	seen := map[string]bool{}
	for i := range object.Members {
		name := memberName(&object.Members[i])
		if seen[name] {
			d.reportAt(join(path, name), &object.Members[i].Name, "given twice", "one value for each name")
		}
		seen[name] = true
	}
	return object.Members, true
}

func (d *decoder) reportAt(path string, at *hujson.Value, value, allowed string) {
	d.problems = append(d.problems, Problem{Path: path, Value: value, Allowed: allowed, Line: d.line(at)})
}

func memberName(m *hujson.ObjectMember) string {
	return m.Name.Value.(hujson.Literal).String()
}

func (d *decoder) decodeStruct(path string, from *hujson.Value, into reflect.Value) {
	members, ok := d.members(path, from)
	if !ok {
		return
	}
	fields, known := fieldsOf(into.Type())
	for i := range members {
		name := memberName(&members[i])
		index, found := fields[name]
		if !found {
			d.reportAt(join(path, name), &members[i].Name, "an unknown field", strings.Join(known, ", "))
			continue
		}
		d.decode(join(path, name), &members[i].Value, into.Field(index))
	}
}

// fieldsOf returns the indices of a struct's fields by JSON name, and the names in order of declaration.
func fieldsOf(t reflect.Type) (map[string]int, []string) {
	fields := map[string]int{}
	var known []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if !t.Field(i).IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = t.Field(i).Name
		}
		fields[name] = i
		known = append(known, name)
	}
	return fields, known
}

func (d *decoder) decodeMap(path string, from *hujson.Value, into reflect.Value) {
	members, ok := d.members(path, from)
	if !ok {
		return
	}
	t := into.Type()
	if t.Key().Kind() != reflect.String {
		d.report(path, describe(from), "nothing: the program declares the type "+t.String()+", which can't be read")
		return
	}
	into.Set(reflect.MakeMapWithSize(t, len(members)))
	for i := range members {
		name := memberName(&members[i])
		element := reflect.New(t.Elem()).Elem()
		d.decode(join(path, name), &members[i].Value, element)
		into.SetMapIndex(reflect.ValueOf(name).Convert(t.Key()), element)
	}
}

func (d *decoder) decodeSlice(path string, from *hujson.Value, into reflect.Value) {
	array, ok := from.Value.(*hujson.Array)
	if !ok {
		d.report(path, describe(from), "an array")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.decode(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], into.Index(i))
	}
}
