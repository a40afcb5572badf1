package loader

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
)

// check calls the Check methods of a value and of the values that it contains. It drops problems of fields that failed
// to decode, since Check sees their default there and not the value in the document.
func (d *decoder) check(path string, v reflect.Value) {
	undecoded := slices.Clone(d.problems)
	d.checkValue(path, v, undecoded)
}

func (d *decoder) checkValue(path string, v reflect.Value, undecoded Problems) {
	if checked, ok := checkerOf(v); ok {
		for _, p := range checked.Check() {
			p.Path = joinRelative(path, p.Path)
			p.Line = d.lines[p.Path]
			if !slices.ContainsFunc(undecoded, func(u Problem) bool { return within(p.Path, u.Path) }) {
				d.problems = append(d.problems, p)
			}
		}
	}
	d.checkElements(path, v, undecoded)
}

// checkerOf returns the Check method of a value or of a pointer to it, if there is one.
func checkerOf(v reflect.Value) (interface{ Check() []Problem }, bool) {
	if v.Kind() == reflect.Pointer && v.IsNil() {
		return nil, false
	}
	if v.CanAddr() && v.Kind() != reflect.Pointer {
		v = v.Addr()
	}
	checked, ok := v.Interface().(interface{ Check() []Problem })
	return checked, ok
}

func (d *decoder) checkElements(path string, v reflect.Value, undecoded Problems) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			d.checkElements(path, v.Elem(), undecoded)
		}
	case reflect.Struct:
		fields, known := fieldsOf(v.Type())
		for _, name := range known {
			d.checkValue(join(path, name), v.Field(fields[name]), undecoded)
		}
	case reflect.Slice:
		for i := range v.Len() {
			d.checkValue(fmt.Sprintf("%s[%d]", path, i), v.Index(i), undecoded)
		}
	case reflect.Map:
		elements := map[string]reflect.Value{}
		for _, key := range v.MapKeys() {
			elements[key.String()] = v.MapIndex(key)
		}
		for _, name := range slices.Sorted(maps.Keys(elements)) {
			d.checkValue(join(path, name), elements[name], undecoded)
		}
	}
}

// joinRelative joins a path and a relative one, which may start with an index.
func joinRelative(path, relative string) string {
	if relative == "" || relative[0] == '[' {
		return path + relative
	}
	return join(path, relative)
}

// checkSize reports a document that is too long or nested too deep to be parsed.
func checkSize(data []byte) (Problem, bool) {
	if len(data) > MaxDocumentBytes {
		return Problem{Value: strconv.Itoa(len(data)) + " bytes long", Allowed: fmt.Sprintf("at most %d bytes", MaxDocumentBytes)}, true
	}
	if line := lineTooDeep(data); line > 0 {
		allowed := fmt.Sprintf("at most %d levels of objects and arrays", maxDepth)
		return Problem{Value: "nested too deep", Allowed: allowed, Line: line}, true
	}
	return Problem{}, false
}

// lineTooDeep returns the line on which the nesting exceeds maxDepth, or zero. It skips strings and comments.
func lineTooDeep(data []byte) int {
	depth, line := 0, 1
	// inside is '"' in a string, '/' or '*' in a comment that starts with // or /*, and 0 elsewhere.
	var inside, previous byte
	for _, c := range data {
		if c == '\n' {
			line++
		}
		switch {
		case inside == '"' && previous == '\\':
			previous = 0
			continue
		case inside == '"' && c == '"', inside == '/' && c == '\n', inside == '*' && previous == '*' && c == '/':
			inside, c = 0, 0
		case inside != 0:
		case c == '"':
			inside = c
		case previous == '/' && (c == '/' || c == '*'):
			inside, c = c, 0
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		}
		if depth > maxDepth {
			return line
		}
		previous = c
	}
	return 0
}
