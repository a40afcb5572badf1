package demonstrator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
)

// Times of the events since the start of the load, as shares of Config.Duration.
const (
	hotKeyShare = 0.1
	moveShare   = 0.25
	stopShare   = 0.4
	crashShare  = 0.65
)

const (
	moveAttempts   = 20
	moveRetryDelay = 100 * time.Millisecond
	// eventTimeout bounds the graceful stop, and the take-over after the crash.
	eventTimeout = 15 * time.Second
	// entryLoadAfterStop is how long the stopping entry still gets requests after the start of its graceful stop. The
	// entry accepts connections for longer than that, so none of these requests may fail.
	entryLoadAfterStop = 300 * time.Millisecond
)

func (d *userDemo) runEvents(ctx context.Context, stopEntry func()) error {
	if !d.sleepUntil(ctx, d.at(hotKeyShare)) {
		return ctx.Err()
	}
	d.progress.printEvent(d.user.name, "key %s becomes hot", d.user.hotKey())
	if !d.sleepUntil(ctx, d.at(moveShare)) {
		return ctx.Err()
	}
	if err := d.moveHotKey(ctx); err != nil {
		return err
	}
	if !d.sleepUntil(ctx, d.at(stopShare)) {
		return ctx.Err()
	}
	if err := d.stopGracefully(ctx, stopEntry); err != nil {
		return err
	}
	if !d.sleepUntil(ctx, d.at(crashShare)) {
		return ctx.Err()
	}
	return d.crash(ctx)
}

func (d *userDemo) sleepUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
	case <-time.After(at - time.Since(d.startedAt)):
	}
	return ctx.Err() == nil
}

// moveHotKey moves the hot key to another member. It retries, since the owner may refuse during an ownership change
// that it has started on its own.
func (d *userDemo) moveHotKey(ctx context.Context) error {
	var lastErr error
	for range moveAttempts {
		owner, others, err := d.fleet.Owner(ctx, d.user.reads, d.user.hotKey())
		if err != nil {
			return err
		}
		to, err := d.moveTarget(others)
		if err != nil {
			return err
		}
		began := time.Now()
		if lastErr = d.fleet.Move(ctx, owner.Admin, d.user.reads, d.user.hotKey(), to.ID); lastErr == nil {
			d.progress.printEvent(d.user.name, "moved the hot key from %s to %s in %s", owner.Name, to.Name,
				time.Since(began).Round(time.Millisecond))
			return nil
		}
		if !d.sleepUntil(ctx, time.Since(d.startedAt)+moveRetryDelay) {
			return ctx.Err()
		}
	}
	return lastErr
}

// moveTarget returns a member that is not about to be stopped.
func (d *userDemo) moveTarget(others []applier.Member) (applier.Member, error) {
	for _, m := range others {
		if m.Name != d.stopping.Name {
			return m, nil
		}
	}
	return applier.Member{}, errors.New("no member can take the hot key")
}

func (d *userDemo) stopGracefully(ctx context.Context, stopEntry func()) error {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	d.stopStart = time.Since(d.startedAt)
	d.progress.printEvent(d.user.name, "stopping %s gracefully", d.stopping.Name)
	timer := time.AfterFunc(entryLoadAfterStop, stopEntry)
	defer timer.Stop()
	if err := d.stopping.Stop(ctx); err != nil {
		return err
	}
	d.stopEnd = time.Since(d.startedAt)
	d.stopping.StopServer()
	d.progress.printEvent(d.user.name, "%s has handed its keys over and left after %s", d.stopping.Name,
		(d.stopEnd - d.stopStart).Round(time.Millisecond))
	return nil
}

// crash ends a server and its hibiscusd abruptly and waits until its keys have other owners.
func (d *userDemo) crash(ctx context.Context) error {
	began := time.Now()
	member, err := d.crashed.Status(ctx)
	if err != nil {
		return err
	}
	d.progress.printEvent(d.user.name, "lost %s with its backend server", d.crashed.Name)
	if err := d.crashed.Crash(); err != nil {
		return err
	}
	const interval = 50 * time.Millisecond
	for {
		state, err := d.fleet.State(ctx)
		if err != nil {
			return err
		}
		present := false
		state.View(func(a *applier.State) { _, present = a.Members[member.Member] })
		if !present {
			d.progress.printEvent(d.user.name, "the keys of %s have other owners after %s", d.crashed.Name,
				time.Since(began).Round(time.Millisecond))
			return nil
		}
		if !d.sleepUntil(ctx, time.Since(d.startedAt)+interval) {
			return ctx.Err()
		}
		if time.Since(began) > eventTimeout {
			return errors.Errorf("%s was not taken over within %s", d.crashed.Name, eventTimeout)
		}
	}
}
