package gatekeeper

import (
	"time"

	"hibiscusline/assigner"
)

const (
	// countWindow is the time over which arrivals are counted before they enter the rates.
	countWindow = 500 * time.Millisecond
	// rateWeight is the weight of the newest window in the rates.
	rateWeight = 0.2
	// bucketWidth is the number of neighbouring keys that are counted together.
	bucketWidth = 16
)

// arrivals counts the requests that arrive for the server, by key. The zero value is ready for use.
type arrivals struct {
	began  time.Duration
	count  float64
	smooth float64
	keys   map[uint16]*keyCount
}

type keyCount struct{ count, smooth float64 }

func (a *arrivals) note(now time.Duration, j *Job) {
	a.advance(now)
	a.count++
	if !j.Keyed {
		return
	}
	if a.keys == nil {
		a.keys = map[uint16]*keyCount{}
	}
	bucket := j.Key / bucketWidth
	k, found := a.keys[bucket]
	if !found {
		k = &keyCount{}
		a.keys[bucket] = k
	}
	k.count++
}

// forgetBelow is the rate below which a bucket is no longer kept, in requests per second.
const forgetBelow = 0.01

// advance closes the windows that have passed.
func (a *arrivals) advance(now time.Duration) {
	if a.began == 0 {
		a.began = now
	}
	for ; now-a.began >= countWindow; a.began += countWindow {
		if now-a.began > time.Minute {
			a.began = now - countWindow
		}
		a.smooth += rateWeight * (a.count/countWindow.Seconds() - a.smooth)
		a.count = 0
		for bucket, k := range a.keys {
			k.smooth += rateWeight * (k.count/countWindow.Seconds() - k.smooth)
			k.count = 0
			if k.smooth < forgetBelow {
				delete(a.keys, bucket)
			}
		}
	}
}

// rate returns the requests per second.
func (a *arrivals) rate(now time.Duration) float64 {
	a.advance(now)
	return a.smooth
}

// keyRates returns the requests per second of parts of the keys.
func (a *arrivals) keyRates(now time.Duration, parts, width int) []float64 {
	a.advance(now)
	rates := make([]float64, parts)
	for bucket, k := range a.keys {
		middle := min(int(bucket)*bucketWidth+bucketWidth/2, assigner.KeyCount-1)
		rates[min(middle/width, parts-1)] += k.smooth
	}
	return rates
}
