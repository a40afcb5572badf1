package loader

import (
	"encoding"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	addrPortType = reflect.TypeFor[netip.AddrPort]()

	// textForms describes the format of types that implement encoding.TextUnmarshaler.
	textForms = map[reflect.Type]string{
		reflect.TypeFor[netip.Addr]():   `an IP address in quotes, such as "10.0.0.1"`,
		addrPortType:                    `an IP address with port in quotes, such as "10.0.0.1:7000"`,
		reflect.TypeFor[netip.Prefix](): `an IP prefix in quotes, such as "10.0.0.0/8"`,
	}
)

const durationForm = `a duration in quotes, such as "1.5s" or "250ms"`

// maxQuotedBytes bounds how much of a value an error message quotes.
const maxQuotedBytes = 80

// describe returns the type of a value and, for a scalar, at most maxQuotedBytes of its text.
func describe(v *hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		if _, object := v.Value.(*hujson.Object); object {
			return "an object"
		}
		return "an array"
	}
	shown := string(literal)
	if len(shown) > maxQuotedBytes {
		shown = shown[:maxQuotedBytes] + "..."
	}
	switch literal.Kind() {
	case '"':
		return "the string " + shown
	case '0':
		return "the number " + shown
	}
	return shown
}

// stringLiteral returns the content of a value that is a string.
func stringLiteral(v *hujson.Value) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", false
	}
	return literal.String(), true
}

func (d *decoder) decodeDuration(path string, from *hujson.Value, into reflect.Value) {
	text, ok := stringLiteral(from)
	value, err := time.ParseDuration(text)
	if !ok || err != nil {
		d.report(path, describe(from), durationForm)
		return
	}
	into.SetInt(int64(value))
}

func (d *decoder) decodeText(path string, from *hujson.Value, into reflect.Value) {
	text, ok := stringLiteral(from)
	if !ok || text == "" || into.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)) != nil {
		d.report(path, describe(from), textForm(into.Type()))
	}
}

func textForm(t reflect.Type) string {
	if form, found := textForms[t]; found {
		return form
	}
	if t.ConvertibleTo(durationType) && t.Kind() == reflect.Int64 {
		return durationForm
	}
	return "the text form of " + t.Name() + " in quotes"
}

func (d *decoder) decodeScalar(path string, from *hujson.Value, into reflect.Value) {
	literal, _ := from.Value.(hujson.Literal)
	kind := literal.Kind()
	switch {
	case into.Kind() == reflect.String:
		if kind != '"' {
			d.report(path, describe(from), "a string in quotes")
			return
		}
		into.SetString(literal.String())
	case into.Kind() == reflect.Bool:
		if kind != 't' && kind != 'f' {
			d.report(path, describe(from), "true or false")
			return
		}
		into.SetBool(literal.Bool())
	case into.CanInt(), into.CanUint(), into.CanFloat():
		d.decodeNumber(path, from, into)
	default:
		d.report(path, describe(from), "nothing: the program declares the type "+into.Type().String()+", which can't be read")
	}
}

func (d *decoder) decodeNumber(path string, from *hujson.Value, into reflect.Value) {
	literal, _ := from.Value.(hujson.Literal)
	text, bits := string(literal), into.Type().Bits()
	var err error
	switch {
	case literal.Kind() != '0':
		err = strconv.ErrSyntax
	case into.CanInt():
		var value int64
		value, err = strconv.ParseInt(text, 10, bits)
		into.SetInt(value)
	case into.CanUint():
		var value uint64
		value, err = strconv.ParseUint(text, 10, bits)
		into.SetUint(value)
	default:
		var value float64
		value, err = strconv.ParseFloat(text, bits)
		into.SetFloat(value)
	}
	if err != nil {
		into.SetZero()
		d.report(path, describe(from), numberForm(into))
	}
}

func numberForm(v reflect.Value) string {
	bits := v.Type().Bits()
	switch {
	case v.CanInt() && bits == 64:
		return "a whole number"
	case v.CanInt():
		return fmt.Sprintf("a whole number from %d to %d", -1<<(bits-1), 1<<(bits-1)-1)
	case v.CanUint() && bits == 64:
		return "a whole number of 0 or more"
	case v.CanUint():
		return fmt.Sprintf("a whole number from 0 to %d", uint64(1)<<bits-1)
	}
	return "a number"
}
