package executor

import "time"

const (
	// rateWindow is the time over which arrivals are counted before they update the smoothed rates.
	rateWindow = 500 * time.Millisecond
	// smoothingWeight is the weight of the newest window in the smoothed rates.
	smoothingWeight = 0.2
)

// arrivalRates measures the rates of requests for the server, by key. The zero value is ready for use.
type arrivalRates struct {
	windowStart time.Duration
	count       float64
	smoothed    float64
	// keys holds the rates by key. Slices of a service with many owners are a few keys wide.
	keys map[uint16]*keyRate
}

type keyRate struct{ count, smoothed float64 }

func (a *arrivalRates) record(now time.Duration, j *Job) {
	a.advance(now)
	a.count++
	if !j.Keyed {
		return
	}
	if a.keys == nil {
		a.keys = map[uint16]*keyRate{}
	}
	k, found := a.keys[j.Key]
	if !found {
		k = &keyRate{}
		a.keys[j.Key] = k
	}
	k.count++
}

// minKeptRate is the rate, in requests per second, below which a key is dropped.
const minKeptRate = 0.01

// advance completes the windows that have passed.
func (a *arrivalRates) advance(now time.Duration) {
	if a.windowStart == 0 {
		a.windowStart = now
	}
	for ; now-a.windowStart >= rateWindow; a.windowStart += rateWindow {
		if now-a.windowStart > time.Minute {
			a.windowStart = now - rateWindow
		}
		a.smoothed += smoothingWeight * (a.count/rateWindow.Seconds() - a.smoothed)
		a.count = 0
		for key, k := range a.keys {
			k.smoothed += smoothingWeight * (k.count/rateWindow.Seconds() - k.smoothed)
			k.count = 0
			if k.smoothed < minKeptRate {
				delete(a.keys, key)
			}
		}
	}
}

// rate returns the smoothed rate in requests per second.
func (a *arrivalRates) rate(now time.Duration) float64 {
	a.advance(now)
	return a.smoothed
}

// keyRates returns the smoothed rates, in requests per second, of parts of the key space that are width keys wide.
func (a *arrivalRates) keyRates(now time.Duration, parts, width int) []float64 {
	a.advance(now)
	rates := make([]float64, parts)
	for key, k := range a.keys {
		rates[min(int(key)/width, parts-1)] += k.smoothed
	}
	return rates
}
