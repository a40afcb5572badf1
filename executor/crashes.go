package executor

import (
	"net/http"
	"strconv"
	"strings"

	"hibiscusline/applier"
)

const (
	// aloneMark precedes the id of a crash at which no other request was in flight.
	aloneMark = "!"
	// maxEncodedCrashes bounds the crashes in a header field.
	maxEncodedCrashes = 8
)

// encodeCrashes sets the field with the crashes that count against a request, as their ids in hexadecimal.
func encodeCrashes(h http.Header, crashes []applier.InFlightCrash) {
	if len(crashes) == 0 {
		return
	}
	var words []string
	for _, c := range crashes[:min(len(crashes), maxEncodedCrashes)] {
		word := strconv.FormatUint(c.Crash, 16)
		if c.Alone {
			word = aloneMark + word
		}
		words = append(words, word)
	}
	h[crashesField] = []string{strings.Join(words, " ")}
}

// decodeCrashes returns the crashes in the field. It ignores malformed ones, since they say nothing of the request.
func decodeCrashes(h http.Header) []applier.InFlightCrash {
	var crashes []applier.InFlightCrash
	for _, word := range strings.Fields(h.Get(crashesField)) {
		id, alone := strings.CutPrefix(word, aloneMark)
		crash, err := strconv.ParseUint(id, 16, 64)
		if err != nil || len(crashes) == maxEncodedCrashes {
			continue
		}
		crashes = append(crashes, applier.InFlightCrash{Crash: crash, Alone: alone})
	}
	return crashes
}
