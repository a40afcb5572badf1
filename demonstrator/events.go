package demonstrator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
)

// Times of the events as shares of the duration.
const (
	hotAt  = 0.1
	moveAt = 0.25
	stopAt = 0.4
	loseAt = 0.65
)

const (
	moveAttempts = 20
	movePause    = 100 * time.Millisecond
	stopTimeout  = 15 * time.Second
	// listeningFor is the time after the begin of the graceful stop in which its entry still gets requests. The entry
	// listens for longer than that.
	listeningFor = 300 * time.Millisecond
)

func (s *stage) events(ctx context.Context, stopEntry func()) error {
	if !s.sleepUntil(ctx, s.at(hotAt)) {
		return ctx.Err()
	}
	s.progress.say(s.user.name, "key %s becomes hot", s.user.hotKey())
	if !s.sleepUntil(ctx, s.at(moveAt)) {
		return ctx.Err()
	}
	if err := s.moveHotKey(ctx); err != nil {
		return err
	}
	if !s.sleepUntil(ctx, s.at(stopAt)) {
		return ctx.Err()
	}
	if err := s.stopGracefully(ctx, stopEntry); err != nil {
		return err
	}
	if !s.sleepUntil(ctx, s.at(loseAt)) {
		return ctx.Err()
	}
	return s.lose(ctx)
}

func (s *stage) sleepUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
	case <-time.After(at - time.Since(s.began)):
	}
	return ctx.Err() == nil
}

// moveHotKey moves the hot key to another member. The owner may refuse while it is changing ownership on its own.
func (s *stage) moveHotKey(ctx context.Context) error {
	var last error
	for range moveAttempts {
		owner, others, err := s.fleet.Owner(ctx, s.user.reads, s.user.hotKey())
		if err != nil {
			return err
		}
		to, err := s.target(others)
		if err != nil {
			return err
		}
		began := time.Now()
		if last = s.fleet.Move(ctx, owner.Admin, s.user.reads, s.user.hotKey(), to.ID); last == nil {
			s.progress.say(s.user.name, "moved the hot key from %s to %s in %s", owner.Name, to.Name,
				time.Since(began).Round(time.Millisecond))
			return nil
		}
		if !s.sleepUntil(ctx, time.Since(s.began)+movePause) {
			return ctx.Err()
		}
	}
	return last
}

// target prefers a member that is not about to be stopped.
func (s *stage) target(others []applier.Member) (applier.Member, error) {
	for _, m := range others {
		if m.Name != s.leaving.Name {
			return m, nil
		}
	}
	return applier.Member{}, errors.New("no member can take the hot key")
}

func (s *stage) stopGracefully(ctx context.Context, stopEntry func()) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	s.stopFrom = time.Since(s.began)
	s.progress.say(s.user.name, "stopping %s gracefully", s.leaving.Name)
	timer := time.AfterFunc(listeningFor, stopEntry)
	defer timer.Stop()
	if err := s.leaving.Stop(ctx); err != nil {
		return err
	}
	s.stopTo = time.Since(s.began)
	s.leaving.StopServer()
	s.progress.say(s.user.name, "%s has handed its keys over and left after %s", s.leaving.Name,
		(s.stopTo - s.stopFrom).Round(time.Millisecond))
	return nil
}

// lose ends a server abruptly and waits until its keys have other owners.
func (s *stage) lose(ctx context.Context) error {
	began := time.Now()
	member, err := s.lost.Status(ctx)
	if err != nil {
		return err
	}
	s.progress.say(s.user.name, "lost %s with its backend server", s.lost.Name)
	if err := s.lost.Crash(); err != nil {
		return err
	}
	const interval = 50 * time.Millisecond
	for {
		state, err := s.fleet.State(ctx)
		if err != nil {
			return err
		}
		present := false
		state.View(func(a *applier.State) { _, present = a.Members[member.Member] })
		if !present {
			s.progress.say(s.user.name, "the keys of %s have other owners after %s", s.lost.Name,
				time.Since(began).Round(time.Millisecond))
			return nil
		}
		if !s.sleepUntil(ctx, time.Since(s.began)+interval) {
			return ctx.Err()
		}
		if time.Since(began) > stopTimeout {
			return errors.Errorf("%s was not taken over within %s", s.lost.Name, stopTimeout)
		}
	}
}
