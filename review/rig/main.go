package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	scenario := flag.String("scenario", "", "the case")
	binary := flag.String("binary", "target/hibiscusd", "the program under test")
	directory := flag.String("directory", "", "a temporary folder")
	record := flag.String("record", "record.txt", "the record")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	os.Exit(play(*scenario, *binary, *directory, *record, *trouble))
}

func play(scenario, binary, directory, path string, trouble bool) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return notRun
	}
	f := &fleet{binary: binary, directory: directory, record: newRecorder(out)}
	defer f.stop()
	var code int
	switch scenario {
	case "odd-report":
		code, err = oddReport(f, trouble)
	case "replaced":
		code, err = replaced(f, trouble)
	case "poison":
		code, err = poison(f, trouble)
	case "unreadable":
		code, err = unreadable(f, trouble)
	case "late-report":
		code, err = lateReport(f, trouble)
	default:
		code, err = notRun, fmt.Errorf("no case %q", scenario)
	}
	if err != nil {
		f.record.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		code = notRun
	}
	f.record.summary()
	f.record.note("exit code %d", code)
	return code
}

var lastID atomic.Uint64

// call sends a request as a caller does, and returns the status, or 0 without an answer.
func (f *fleet) call(client *http.Client, entry, method, path string, key int) int {
	q, err := http.NewRequest(method, "http://"+entry+path, http.NoBody)
	if err != nil {
		return 0
	}
	id := fmt.Sprintf("%016x", lastID.Add(1))
	q.Host = host
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Deadline-Ms", "3000")
	if key >= 0 {
		q.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	r, err := client.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0
	}
	return r.StatusCode
}

// orders sends orders, which may run once at most, to some entries until ctx ends.
func (f *fleet) orders(ctx context.Context, entries []*node, perSecond int) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	for i := 0; ctx.Err() == nil; i++ {
		n := entries[i%len(entries)]
		go func() {
			status := f.call(client, n.listen, http.MethodPost, "/orders/1", -1)
			f.record.count(fmt.Sprintf("orders sent, answered with %d", status))
		}()
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// traffic sends reads of random keys to all entries until ctx ends.
func (f *fleet) traffic(ctx context.Context, perSecond int) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	for ctx.Err() == nil {
		n := f.nodes[rand.IntN(len(f.nodes))]
		key := rand.IntN(keyCount/keyStep) * keyStep
		go func() {
			status := f.call(client, n.listen, http.MethodGet, fmt.Sprintf("/stock/%x", key), key)
			f.record.count(fmt.Sprintf("sent on keys, answered with %d", status))
		}()
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}
