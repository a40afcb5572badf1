package sidecar

import (
	"encoding/base64"
	"math/rand/v2"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"hibiscusline/applier"
	"hibiscusline/executor"
	"hibiscusline/quarantiner"
	"hibiscusline/timer"
)

// Sidecars tell each other of the requests that crash servers in the header of their sync requests and responses.

// suspectsField is the field with the reports of suspects, in base64.
const suspectsField = executor.FieldPrefix + "Suspects"

// crashesBeforeAlone is the number of crashes from which on a request runs alone. A server that works on other requests meanwhile
// must finish them first, which is too much for each request that was in flight at one crash.
const crashesBeforeAlone = 2

// addSuspects sets the field with the suspects that others should know of.
func (a *Sidecar) addSuspects(h http.Header) {
	reports := a.quarantine.Reports(timer.Now())
	if len(reports) == 0 {
		return
	}
	data, err := cbor.Marshal(reports)
	if err != nil {
		_ = a.logger.Log("event", "suspects_not_encoded", "error", err)
		return
	}
	h.Set(suspectsField, base64.RawStdEncoding.EncodeToString(data))
}

// observeSuspects adopts the suspects that another sidecar reports. Earlier releases don't send the field.
func (a *Sidecar) observeSuspects(h http.Header) {
	text := h.Get(suspectsField)
	if text == "" {
		return
	}
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		_ = a.logger.Log("event", "suspects_malformed", "error", err)
		return
	}
	var reports []quarantiner.Report
	if err := cbor.Unmarshal(data, &reports); err != nil {
		_ = a.logger.Log("event", "suspects_malformed", "error", err)
		return
	}
	a.quarantine.AddReports(timer.Now(), reports)
}

// handleCrash reports a crash of the server to some other sidecars at once.
func (a *Sidecar) handleCrash(applier.Suspect) {
	a.metrics.count("hibiscus_backend_crashes_total")
	var names []string
	for name := range a.registrar.View().Members {
		names = append(names, name)
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	a.notify(names)
}
