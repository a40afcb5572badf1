package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/registrar"
	"hibiscusline/timer"
	"hibiscusline/waiter"
)

// TestEvacuationKeepsItsAge guards against a process that reads an evacuation again which it knows already, or while others confirm
// that they know it, and that takes it for a new one.
func TestEvacuationKeepsItsAge(t *testing.T) {
	var a *Sidecar
	a = newSidecarOf(t, func(w http.ResponseWriter, r *http.Request) {
		// The answer takes long, and others confirm their configuration meanwhile.
		time.Sleep(10 * time.Millisecond)
		a.configurationAge.Confirm(timer.Now())
		_, _ = w.Write(encodeStoreBatch(1, "evacuate/zone-a", []byte{0xa0}))
	})
	a.applyEvacuations(a.evacuations.List(timer.Now(), registrar.Position{Offset: 1}, nil), "test")
	before := timer.Now()
	a.configurationAge.Confirm(before)
	for range 2 {
		r := configurationRead{loaded: true, next: 1}
		_, err := a.readConfiguration(t.Context(), &r, waiter.Hold{})
		require.NoError(t, err)
		e, evacuated := a.evacuations.Evacuated("zone-a")
		require.True(t, evacuated)
		require.InDelta(t, before, e.Since, float64(time.Millisecond))
	}
}
