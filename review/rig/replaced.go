package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// machines is how many machines serve at a time, and replacements how many are replaced before the disruption, one each
	// replacementGap.
	machines       = 4
	replacements   = 20
	replacementGap = time.Second
	// servesOn is how long a server serves after the acknowledgement of its leaving.
	servesOn = 2500 * time.Millisecond
	// leavesAt, storeBack and leaverEnds count from the moment at which the store goes down.
	leavesAt   = 300 * time.Millisecond
	storeBack  = 4500 * time.Millisecond
	leaverEnds = 13 * time.Second
)

// zones are the availability zones of the site.
var zones = []string{"ee-north-a", "ee-north-b", "ee-north-c", "ee-north-d"}

// addNext adds the next machine, named as on the site, and starts it.
func (f *fleet) addNext() error {
	i := len(f.nodes)
	zone := zones[i%len(zones)]
	if err := f.add(fmt.Sprintf("side-%s-%d", zone, i/len(zones)+1), zone, "tellimus", false); err != nil {
		return err
	}
	n := f.nodes[i]
	if err := f.startProcess(n); err != nil {
		return err
	}
	f.startServer(n)
	return nil
}

// remove empties a machine and takes it away: its server leaves and ends, and then the process gets SIGTERM.
func (f *fleet) remove(ctx context.Context, n *node) {
	status := n.server.leave(ctx, false)
	time.Sleep(servesOn)
	n.stopServer()
	err := n.command.Process.Signal(syscall.SIGTERM)
	_ = n.command.Wait() // A process that ends at a signal may report an error.
	f.record.note("%s is removed; its server's leaving was answered with %d (%v)", n.name, status, err)
}

// replaced: machines have been replaced one after the other, as in releases. Then a server leaves while the store is down, and the
// process beside it is stopped and started again as planned.
func replaced(f *fleet, trouble bool) (int, error) {
	if err := f.startStore(); err != nil {
		return notRun, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range machines {
		if err := f.addNext(); err != nil {
			return notRun, err
		}
	}
	time.Sleep(4 * time.Second)
	for i := range replacements {
		if err := f.addNext(); err != nil {
			return notRun, err
		}
		go f.remove(ctx, f.nodes[i])
		time.Sleep(replacementGap)
	}
	time.Sleep(12 * time.Second)
	present := f.nodes[replacements:]
	n := present[2]
	go f.orders(ctx, present, 50)
	time.Sleep(3 * time.Second)
	begin := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(begin.Add(after))) }
	if trouble {
		f.platform.SetDown(true)
		f.record.note("the store is down")
	}
	at(leavesAt)
	status := n.server.leave(ctx, true)
	acknowledged := time.Now()
	f.record.note("the leaving of %s was answered with %d", n.server.id, status)
	if status != http.StatusOK {
		return notRun, nil
	}
	at(2 * leavesAt)
	if err := n.command.Process.Signal(syscall.SIGTERM); err != nil {
		return notRun, err
	}
	_ = n.command.Wait() // A process that ends at a signal may report an error.
	if err := f.startProcess(n); err != nil {
		return notRun, err
	}
	calm := time.Now()
	f.record.note("the process beside it was stopped with SIGTERM and has been started again")
	if trouble {
		at(storeBack)
		f.platform.SetDown(false)
		calm = time.Now()
		f.record.note("the store is back")
	}
	at(leaverEnds)
	n.stopServer()
	f.record.note("the server %s has ended", n.server.id)
	time.Sleep(time.Second)
	cancel()
	time.Sleep(time.Second)
	return f.judgeLeaving(n, acknowledged, calm), nil
}
