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
	readLimit    = 500
	retryDelay   = 100 * time.Millisecond
	readbackWait = 20 * time.Millisecond
)

// NewEnvelope gives a record a new random id.
func NewEnvelope(r applier.Record) applier.Envelope {
	return applier.Envelope{ID: rand.Text(), Record: r}
}

// Load reads the whole state from the log.
func Load(ctx context.Context, c *Client) (*follower.Follower, error) {
	f := &follower.Follower{}
	if err := CatchUp(ctx, c, f); err != nil {
		return nil, err
	}
	if !f.Ready() {
		return nil, errors.New("the log holds no whole checkpoint that its records continue")
	}
	return f, nil
}

// CatchUp reads until the follower has applied all records that the log has now.
func CatchUp(ctx context.Context, c *Client, f *follower.Follower) error {
	for {
		from := f.NextOffset()
		b, err := c.Read(ctx, from, readLimit)
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

// Commit appends a record and reads on until it was applied. It appends again after a lost answer; the record's id makes
// the duplicates harmless. It returns an error only when the context ends, and the record may still take effect then.
func Commit(ctx context.Context, c *Client, f *follower.Follower, e applier.Envelope) (applier.Result, error) {
	var last error
	for {
		_, appendErr := c.Append(ctx, e)
		if appendErr != nil {
			last = appendErr
		}
		if err := CatchUp(ctx, c, f); err != nil {
			last = err
		}
		var result applier.Result
		var found bool
		f.View(func(s *applier.State) { result, found = s.ResultOf(e.ID) })
		if found {
			return result, nil
		}
		delay := readbackWait
		if last != nil {
			delay = retryDelay
		}
		select {
		case <-ctx.Done():
			if last == nil {
				last = ctx.Err()
			}
			return applier.Result{}, errors.Wrap(last, "record may or may not be in the log")
		case <-time.After(delay):
		}
	}
}
