package sidecar

import (
	"context"
	"time"
)

const (
	// maxTransferPause is the longest pause within a response. Connections can go silent without a reset.
	maxTransferPause = 1500 * time.Millisecond
	// maxTransferTime bounds a response as a whole.
	maxTransferTime = 20 * time.Second
)

// boundTransfer returns a context for an exchange whose response is large. It ends unless the first part of the body
// arrives within a time, and each further one after a pause of maxTransferPause at most: a response that takes long on a
// slow link isn't given up while it arrives. The second result is to be called for each part.
func boundTransfer(ctx context.Context, firstPart time.Duration) (context.Context, func(), context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, firstPart+maxTransferTime)
	stalled := time.AfterFunc(firstPart, cancel)
	return ctx, func() { stalled.Reset(maxTransferPause) }, func() {
		stalled.Stop()
		cancel()
	}
}
