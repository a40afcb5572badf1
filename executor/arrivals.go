package executor

import (
	"time"

	"hibiscusline/assigner"
)

const (
	// rateWindow is the time over which arrivals are counted before they update the smoothed rates.
	rateWindow = 500 * time.Millisecond
	// smoothingWeight is the weight of the newest window in the smoothed rates.
	smoothingWeight = 0.2
	// bucketWidth is the number of adjacent keys that are counted together.
	bucketWidth = 16
)

// arrivalRates measures the rates of requests for the server, by key. The zero value is ready for use.
type arrivalRates struct {
	windowStart time.Duration
	count       float64
	smoothed    float64
	buckets     map[uint16]*bucketRate
}

type bucketRate struct{ count, smoothed float64 }

func (a *arrivalRates) record(now time.Duration, j *Job) {
	a.advance(now)
	a.count++
	if !j.Keyed {
		return
	}
	if a.buckets == nil {
		a.buckets = map[uint16]*bucketRate{}
	}
	bucket := j.Key / bucketWidth
	k, found := a.buckets[bucket]
	if !found {
		k = &bucketRate{}
		a.buckets[bucket] = k
	}
	k.count++
}

// minKeptRate is the rate, in requests per second, below which a bucket is dropped.
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
		for bucket, k := range a.buckets {
			k.smoothed += smoothingWeight * (k.count/rateWindow.Seconds() - k.smoothed)
			k.count = 0
			if k.smoothed < minKeptRate {
				delete(a.buckets, bucket)
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
	for bucket, k := range a.buckets {
		middle := min(int(bucket)*bucketWidth+bucketWidth/2, assigner.KeyCount-1)
		rates[min(middle/width, parts-1)] += k.smoothed
	}
	return rates
}
