package sidecar

import (
	"context"
	"encoding/base64"
	"math/rand/v2"
	"net/http"
	"time"

	"hibiscusline/executor"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// Sidecars tell each other the leavings that the store lacks in the header of their sync requests and responses, so that soon any
// of them can tell a process that starts again. Once the store is available, they write them there.

const (
	// leavingsField is the field with the leavings.
	leavingsField = executor.FieldPrefix + "Leavings"
	// maxToldBytes bounds the names and ids of the leavings in one header. If there are more, each header has others.
	maxToldBytes = 1 << 10
	// recordLeavingsAfter is how long the process beside a server has to write its leaving before others do, once the store is
	// available. They wait up to twice as long, so that mostly one of them writes.
	recordLeavingsAfter = time.Second
)

// addUnrecordedLeavings sets the field with leavings that the store lacks.
func (a *Sidecar) addUnrecordedLeavings(h http.Header) {
	list := someLeavings(a.registrar.View().UnrecordedLeavings())
	if len(list) == 0 {
		return
	}
	data, err := registrar.EncodeLeavings(list)
	if err != nil {
		_ = a.logger.Log("event", "leavings_not_encoded", "error", err)
		return
	}
	h.Set(leavingsField, base64.RawStdEncoding.EncodeToString(data))
}

// someLeavings returns as many of the leavings, chosen at random, as one header may have.
func someLeavings(list []registrar.Leaving) []registrar.Leaving {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var some []registrar.Leaving
	size := 0
	for _, l := range list {
		if bytes := len(l.Member) + len(l.Incarnation.Instance); size+bytes <= maxToldBytes {
			size += bytes
			some = append(some, l)
		}
	}
	return some
}

// observeLeavings adopts the leavings that another sidecar tells. Earlier releases don't send the field.
func (a *Sidecar) observeLeavings(h http.Header, source string) {
	text := h.Get(leavingsField)
	if text == "" {
		return
	}
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		_ = a.logger.Log("event", "leavings_malformed", "source", source, "error", err)
		return
	}
	list, err := registrar.DecodeLeavings(data)
	if err != nil {
		_ = a.logger.Log("event", "leavings_malformed", "source", source, "error", err)
		return
	}
	a.addLeavings(list, source)
}

// recordLeavings writes leavings of other sidecars' servers to the store if it lacks them. The process beside such a server may be
// away, and all that know of the leaving may have started again by the time it returns.
func (a *Sidecar) recordLeavings(ctx context.Context) {
	for {
		select {
		case <-a.leavingWake:
		case <-ctx.Done():
			return
		}
		for len(a.leavingRecords(a.registrar.View())) > 0 && timer.Sleep(ctx, recordLeavingsAfter+rand.N(recordLeavingsAfter)) {
			if a.storeHealth.downFor() > 0 {
				continue
			}
			err := a.appendChange(ctx, "leaving", func(v *registrar.View) ([]platform.Record, error) {
				return a.leavingRecords(v), nil
			})
			if err != nil {
				_ = a.logger.Log("event", "leavings_unrecorded", "error", err)
			}
		}
	}
}

// leavingRecords returns the records of other members that say ready although their servers have left, with the state corrected.
func (a *Sidecar) leavingRecords(v *registrar.View) []platform.Record {
	var list []platform.Record
	for _, l := range v.UnrecordedLeavings() {
		m, found := v.StoredMember(l.Member)
		if !found || l.Member == a.settings.Name || m.Incarnation != l.Incarnation || m.State != registrar.Ready {
			continue
		}
		m.State = registrar.Draining
		value, err := m.Encode()
		if err != nil {
			_ = a.logger.Log("event", "leaving_not_encoded", "member", l.Member, "error", err)
			continue
		}
		list = append(list, platform.Record{Key: registrar.MemberKey(l.Member), Value: value})
	}
	return list
}
