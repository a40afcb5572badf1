package appender

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/follower"
)

const (
	maxReadRecords = 500
	retryDelay     = 100 * time.Millisecond
	readBackDelay  = 20 * time.Millisecond
)

// NewEnvelope returns an envelope that holds the record and a new random id.
func NewEnvelope(r applier.Record) applier.Envelope {
	return applier.Envelope{ID: rand.Text(), Record: r}
}

// Load reads the log and returns a follower with the whole state. It returns an error if the log no longer starts at
// offset 1 and holds no complete checkpoint to start from.
func Load(ctx context.Context, c *Client) (*follower.Follower, error) {
	f := &follower.Follower{}
	if err := CatchUp(ctx, c, f); err != nil {
		return nil, err
	}
	if !f.Ready() {
		return nil, errors.New("the log holds no complete checkpoint to start from")
	}
	return f, nil
}

// CatchUp reads the log until the follower has applied all its records.
func CatchUp(ctx context.Context, c *Client, f *follower.Follower) error {
	for {
		from := f.NextOffset()
		b, err := c.Read(ctx, from, maxReadRecords)
		if err != nil {
			return err
		}
		if _, err := f.Ingest(b); err != nil {
			return err
		}
		if f.NextOffset() >= b.Next || f.NextOffset() == from && len(b.Records) == 0 && f.Ready() {
			return nil
		}
	}
}

// Commit appends a record, reads the log until the follower has applied it, and returns its result. It appends again
// until it has read the record; the record's id makes the duplicates harmless. It returns an error only when the
// context ends; the record may then still take effect.
func Commit(ctx context.Context, c *Client, f *follower.Follower, e applier.Envelope) (applier.Result, error) {
	var lastErr error
	for {
		_, appendErr := c.Append(ctx, e)
		if appendErr != nil {
			lastErr = appendErr
		}
		if err := CatchUp(ctx, c, f); err != nil {
			lastErr = err
		}
		var result applier.Result
		var found bool
		f.View(func(s *applier.State) { result, found = s.ResultOf(e.ID) })
		if found {
			return result, nil
		}
		delay := readBackDelay
		if lastErr != nil {
			delay = retryDelay
		}
		select {
		case <-ctx.Done():
			if lastErr == nil {
				lastErr = ctx.Err()
			}
			return applier.Result{}, errors.Wrap(lastErr, "record may or may not be in the log")
		case <-time.After(delay):
		}
	}
}
