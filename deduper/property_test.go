package deduper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscusline/applier"
	"hibiscusline/hasher"
	_ "hibiscusline/seeder"
)

const (
	testService = "orders"
	testWindow  = time.Minute
)

func testWindowOf(string) time.Duration { return testWindow }

func testID(key string) ID {
	return ID{Service: testService, Position: hasher.KeyPosition(key), Key: key}
}

// node is a process with its own clock.
type node struct {
	id               applier.MemberID
	table            *Table
	store            *Store
	offset           time.Duration
	rate             float64
	alive, reachable bool
}

// predecessor is a former owner whose rows the current owner has not yet declared complete at its guardians.
type predecessor struct {
	owner     applier.MemberID
	guardians [2]*node
}

// cluster simulates one range whose owner and guardians change, with messages that are lost or delayed.
type cluster struct {
	t         *rapid.T
	clock     time.Duration
	nodes     int
	owner     *node
	guardians [2]*node
	lineage   []predecessor
	running   map[string]AttemptRef
	lastRun   map[string]time.Duration
	delayed   []func()
}

func (c *cluster) now(n *node) time.Duration {
	return n.offset + time.Duration(float64(c.clock)*n.rate)
}

func (c *cluster) newNode() *node {
	c.nodes++
	return &node{
		id: applier.MemberID(c.nodes), table: NewTable(Limits{Rows: 12}), store: NewStore(Limits{}),
		alive: true, reachable: true,
		offset: time.Duration(rapid.IntRange(-100, 100).Draw(c.t, "offset")) * time.Second,
		rate:   rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(c.t, "rate"),
	}
}

func (c *cluster) newOwner() {
	c.owner, c.running = c.newNode(), map[string]AttemptRef{}
	for i := range c.guardians {
		c.guardians[i] = c.newNode()
		c.guardians[i].store.SetComplete(c.owner.id, true)
	}
}

// replicate records rows at the reachable guardians, and reports whether all guardians acknowledged.
func (c *cluster) replicate(rows []Row) bool {
	acknowledged := true
	for _, g := range c.guardians {
		if !g.alive || !g.reachable {
			acknowledged = false
			continue
		}
		require.NoError(c.t, g.store.Record(c.now(g), c.owner.id, rows))
	}
	return acknowledged
}

// send delivers a message to each guardian now, later or never.
func (c *cluster) send(message func(g *node, owner applier.MemberID)) {
	owner := c.owner.id
	for _, g := range c.guardians {
		deliver := func() { message(g, owner) }
		switch rapid.IntRange(0, 2).Draw(c.t, "delivery") {
		case 0:
			deliver()
		case 1:
			c.delayed = append(c.delayed, deliver)
		}
	}
}

func (c *cluster) sendRow(row Row) {
	c.send(func(g *node, owner applier.MemberID) {
		require.NoError(c.t, g.store.Record(c.now(g), owner, []Row{row}))
	})
}

func (c *cluster) begin(t *rapid.T) {
	key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
	fresh, isFresh := c.owner.table.Begin(c.now(c.owner), testID(key), 1).(Fresh)
	if !isFresh {
		return
	}
	if !c.replicate([]Row{fresh.Row}) || rapid.IntRange(0, 3).Draw(t, "admission") == 0 {
		require.True(t, c.owner.table.Abort(fresh.Row.Ref))
		c.send(func(g *node, owner applier.MemberID) { g.store.DeleteIntents(owner, []AttemptRef{fresh.Row.Ref}) })
		return
	}
	// Clocks run up to 2% fast, so a window may end 2% early.
	if last, before := c.lastRun[key]; before {
		require.GreaterOrEqual(t, c.clock-last, testWindow*97/100, "key %s ran twice within its window", key)
	}
	c.lastRun[key], c.running[key] = c.clock, fresh.Row.Ref
}

func (c *cluster) finish(t *rapid.T) {
	key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
	c.finishKey(key, rapid.Bool().Draw(t, "completes"))
}

func (c *cluster) finishKey(key string, completes bool) {
	ref, running := c.running[key]
	if !running {
		return
	}
	delete(c.running, key)
	end := func() (Row, bool) { return c.owner.table.Fail(c.now(c.owner), ref) }
	if completes {
		end = func() (Row, bool) { return c.owner.table.Complete(c.now(c.owner), ref, Outcome{Status: 200}) }
	}
	row, recorded := end()
	require.True(c.t, recorded)
	c.sendRow(row)
}

func (c *cluster) deliver(t *rapid.T) {
	if len(c.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.delayed)-1).Draw(t, "message")
	c.delayed[i]()
	c.delayed = append(c.delayed[:i:i], c.delayed[i+1:]...)
}

func (c *cluster) advance(t *rapid.T) {
	c.clock += time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second
	c.owner.table.Expire(c.now(c.owner), testWindowOf)
	for _, p := range append(c.lineage, predecessor{guardians: c.guardians}) {
		for _, g := range p.guardians {
			g.store.Expire(c.now(g), testWindowOf)
		}
	}
}

func (c *cluster) disruptGuardian(t *rapid.T) {
	g := c.guardians[rapid.IntRange(0, 1).Draw(t, "guardian")]
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		g.alive = false
		return
	}
	g.reachable = !g.reachable
}

func (c *cluster) replaceGuardian(t *rapid.T) {
	c.guardians[rapid.IntRange(0, 1).Draw(t, "guardian")] = c.newNode()
}

// synchronize sends all rows to the guardians, and settles if nothing is missing.
func (c *cluster) synchronize(*rapid.T) {
	now, complete := c.now(c.owner), false
	if !c.replicate(c.owner.table.Export(now, testService, hasher.Full())) {
		return
	}
	complete = len(c.owner.table.Blocks(now, testService, hasher.Full())) == 0
	c.declare(complete)
	if complete {
		c.lineage = nil
	}
}

func (c *cluster) declare(complete bool) {
	for _, g := range c.guardians {
		if g.alive && g.reachable {
			g.store.SetComplete(c.owner.id, complete)
		}
	}
}

// takeOver makes a new owner import the rows of all lost owners. One complete guardian of each is enough, because
// every intent waited for all guardians.
func (c *cluster) takeOver(t *rapid.T) {
	c.lineage = append(c.lineage, predecessor{owner: c.owner.id, guardians: c.guardians})
	c.newOwner()
	for _, p := range c.lineage {
		complete := false
		first := rapid.IntRange(0, 1).Draw(t, "first answer")
		for _, g := range []*node{p.guardians[first], p.guardians[1-first]} {
			if !g.alive || complete {
				continue
			}
			var rows []Row
			rows, complete = g.store.Rows(c.now(g), p.owner, testService, hasher.Full())
			c.owner.table.Import(c.now(c.owner), rows)
		}
		if !complete {
			c.owner.table.Block(c.now(c.owner), Block{Service: testService, Range: hasher.Full(), Remaining: testWindow})
		}
	}
}

// loseOwnerAndGuardian loses the owner and one guardian. The other guardian may have been unreachable when requests
// began.
func (c *cluster) loseOwnerAndGuardian(t *rapid.T) {
	c.guardians[rapid.IntRange(0, 1).Draw(t, "guardian")].alive = false
	c.takeOver(t)
}

// loseOwnerAndRows loses the owner and its guardians' rows: each guardian is lost, or replaced by one that isn't
// complete yet.
func (c *cluster) loseOwnerAndRows(t *rapid.T) {
	for i, g := range c.guardians {
		if rapid.Bool().Draw(t, "replaced") {
			c.guardians[i] = c.newNode()
			continue
		}
		g.alive = false
	}
	c.takeOver(t)
}

func (c *cluster) move(*rapid.T) {
	for key := range c.lastRun {
		c.finishKey(key, true)
	}
	now := c.now(c.owner)
	rows := c.owner.table.Export(now, testService, hasher.Full())
	blocks := c.owner.table.Blocks(now, testService, hasher.Full())
	c.newOwner()
	c.owner.table.Import(c.now(c.owner), rows)
	for _, b := range blocks {
		c.owner.table.Block(c.now(c.owner), b)
	}
	c.replicate(c.owner.table.Export(c.now(c.owner), testService, hasher.Full()))
	c.declare(len(blocks) == 0)
	c.lineage = nil
}

// TestNoKeyRunsTwiceWithinItsWindow guards against a non-repeatable request that runs twice: after a lost or delayed
// outcome, a planned move, a take-over, a chain of take-overs, or the loss or replacement of a guardian.
func TestNoKeyRunsTwiceWithinItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t, lastRun: map[string]time.Duration{}}
		c.newOwner()
		t.Repeat(map[string]func(*rapid.T){
			"begin": c.begin, "begin again": c.begin, "begin more": c.begin, "finish": c.finish, "deliver": c.deliver, "advance": c.advance,
			"disturb guardian": c.disruptGuardian, "replace guardian": c.replaceGuardian, "synchronize": c.synchronize,
			"take over": c.takeOver, "lose one": c.loseOwnerAndGuardian, "lose all": c.loseOwnerAndRows, "move": c.move,
		})
	})
}
