package evacuator

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/registrar"
)

// Signs of a record in its encoded form, before its age.
const (
	evacuatedSign = "+"
	restoredSign  = "-"
	// unknownText stands for a position or an age that isn't known.
	unknownText = "?"
)

// Encode returns a state as text, with ages instead of times. They count to now.
func (s State) Encode(now time.Duration) string {
	fields := []string{unknownText}
	if s.Known {
		fields[0] = encodePosition(s.Complete)
	}
	for zone, r := range s.Records {
		sign, age := restoredSign, unknownText
		if r.Evacuated {
			sign = evacuatedSign
		}
		if r.Since > 0 {
			age = strconv.FormatInt(max(now-r.Since, 0).Microseconds(), 10)
		}
		fields = append(fields, url.QueryEscape(zone)+"="+encodePosition(r.Position)+sign+age)
	}
	slices.Sort(fields[1:])
	return strings.Join(fields, " ")
}

// Decode decodes a state whose ages count to a time.
func Decode(text string, at time.Duration) (State, error) {
	first, rest, _ := strings.Cut(text, " ")
	s := State{Known: first != unknownText, Records: map[string]Record{}}
	if s.Known {
		var err error
		if s.Complete, err = decodePosition(first); err != nil {
			return State{}, err
		}
	}
	for _, field := range strings.Fields(rest) {
		r, err := decodeRecord(field, at)
		if err != nil {
			return State{}, err
		}
		s.Records[r.Zone] = r
	}
	return s, nil
}

func decodeRecord(field string, at time.Duration) (Record, error) {
	escaped, text, found := strings.Cut(field, "=")
	zone, err := url.QueryUnescape(escaped)
	i := strings.IndexAny(text, evacuatedSign+restoredSign)
	if !found || err != nil || zone == "" || i < 0 {
		return Record{}, errors.Errorf("evacuation %q", field)
	}
	position, err := decodePosition(text[:i])
	if err != nil {
		return Record{}, err
	}
	r := Record{Zone: zone, Position: position, Evacuated: text[i:i+1] == evacuatedSign}
	if age := text[i+1:]; age != unknownText {
		us, err := strconv.ParseInt(age, 10, 64)
		if err != nil {
			return Record{}, errors.Wrapf(err, "evacuation %q", field)
		}
		r.Since = max(at-time.Duration(us)*time.Microsecond, 0)
	}
	return r, nil
}

func encodePosition(p registrar.Position) string {
	return strconv.FormatUint(p.Era, 10) + "." + strconv.FormatUint(p.Offset, 10)
}

func decodePosition(text string) (registrar.Position, error) {
	era, offset, found := strings.Cut(text, ".")
	e, err1 := strconv.ParseUint(era, 10, 64)
	o, err2 := strconv.ParseUint(offset, 10, 64)
	if !found || err1 != nil || err2 != nil {
		return registrar.Position{}, errors.Errorf("position %q", text)
	}
	return registrar.Position{Era: e, Offset: o}, nil
}
