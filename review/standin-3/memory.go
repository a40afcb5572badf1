package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// fileBytes is the length of the largest downloads of the site files.
	fileBytes = 540_000
	// downloaders is the number of consumers that download, of which one begins each downloaderPause, and downloadsEach that of
	// the requests that each sends before the first is answered.
	downloaders, downloadsEach = 64, 16
	downloaderPause            = 100 * time.Millisecond
	// downloaderBytes is what a consumer reads each downloaderPause, if it reads slowly.
	downloaderBytes = 8 << 10
	// downloadTime is the time budget of a download.
	downloadTime = 10 * time.Second
	// buyers is the number of consumers that send orders, each on a connection of its own that it keeps.
	buyers = 16
	// orderWork is the time that the server works on an order.
	orderWork = 80 * time.Millisecond
)

// residentMB returns the memory that the process takes.
func (n *node) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			if err != nil {
				return 0
			}
			return float64(kb) / (1 << 10)
		}
	}
	return 0
}

// orders counts the orders of the buyers.
type orders struct {
	mu       sync.Mutex
	statuses map[int]int
	// unanswered holds the ids of the orders whose connection ended without an answer.
	unanswered []string
}

func (o *orders) add(status int, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.statuses[status]++
	if status == 0 {
		o.unanswered = append(o.unanswered, id)
	}
}

func (o *orders) counts() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprint(o.statuses)
}

// playMemory lets consumers download files from one process, as slowly as a narrow line would, while others send orders to it. The
// platform kills a process that takes more memory than its limit. It counts the orders that ran and got no answer.
func playMemory(w *world, trouble bool) error {
	err := w.publish(1, []route{
		{"patterns", "/patterns/", "download", "patterns", downloadTime}, {"orders", "/orders/", "non_idempotent", "orders", 2 * time.Second},
	}, map[string]bool{"patterns": false, "orders": false})
	if err != nil {
		return err
	}
	file := bytes.Repeat([]byte("0123456789abcdef"), fileBytes/16)
	var orderServer *server
	for i, service := range []string{"orders", "patterns", "patterns"} {
		n, err := w.newNode(fmt.Sprintf("node-%d", i+1), service)
		if err != nil {
			return err
		}
		s := n.newServer(fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli(), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Response-Signature", "s")
			if service == "patterns" {
				w.Header().Set("Content-Length", strconv.Itoa(len(file)))
				_, _ = w.Write(file)
				return
			}
			time.Sleep(orderWork)
			_, _ = io.WriteString(w, "done")
		})
		if err := s.start(); err != nil {
			return err
		}
		if orderServer == nil {
			orderServer = s
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	entry := w.nodes[0]
	stop := make(chan struct{})
	var group sync.WaitGroup
	o := &orders{statuses: map[int]int{}}
	for k := range buyers {
		group.Go(func() { sendOrdersUntil(stop, entry, o, k) })
	}
	time.Sleep(2 * time.Second)
	w.printf("%s takes %.0f MB; orders by status: %s", entry.name, entry.residentMB(), o.counts())
	var downloads atomic.Int64
	for k := range downloaders {
		group.Go(func() {
			time.Sleep(time.Duration(k) * downloaderPause)
			downloads.Add(int64(downloadAll(entry, k, trouble)))
		})
	}
	killed := w.watchMemory(entry)
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	lost := 0
	for _, id := range o.unanswered {
		if orderServer.runs(id) > 0 {
			lost++
		}
	}
	w.printf("%d downloads whole; orders by status: %s; %d orders ran at the server and got no answer", downloads.Load(), o.counts(), lost)
	switch {
	case killed && lost > lostAllowed:
		return errors.Wrapf(errBroken, "LOST: %d orders, and the process exceeded its memory", lost)
	case killed:
		return errors.New("the process exceeded its memory, but too few orders were under way")
	}
	return nil
}

// watchMemory kills a process, as the platform does, when it takes more memory than its limit, and reports whether it did.
func (w *world) watchMemory(n *node) bool {
	peak := 0.0
	for end := time.Now().Add(downloadTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		mb := n.residentMB()
		peak = max(peak, mb)
		if mb > memoryMB {
			w.printf("%s takes %.0f MB; its limit is %d MB, so the platform kills it", n.name, mb, memoryMB)
			n.signal(syscall.SIGKILL)
			return true
		}
	}
	w.printf("%s took %.0f MB at its peak; its limit is %d MB", n.name, peak, memoryMB)
	return false
}

// sendOrdersUntil sends orders one after the other on a kept connection, until the connection ends without an answer or stop is
// closed.
func sendOrdersUntil(stop <-chan struct{}, n *node, o *orders, k int) {
	client := http.Client{Transport: &http.Transport{}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("o%d-%d", k, i)
		// Without a body that can be read again, the client doesn't send the request twice.
		q, err := http.NewRequest(http.MethodPost, "http://"+n.listen.String()+"/orders/x", io.NopCloser(strings.NewReader("order")))
		if err != nil {
			return
		}
		q.ContentLength, q.Host = int64(len("order")), host
		q.Header.Set("Attempt-Id", id)
		q.Header.Set("Deadline-Ms", "600")
		r, err := client.Do(q)
		if err != nil {
			o.add(0, id)
			return
		}
		_, err = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		if err != nil {
			o.add(0, id)
			return
		}
		o.add(r.StatusCode, id)
	}
}

// downloadAll sends the downloads of a consumer on one connection and reads the answers. It returns the number of whole ones.
func downloadAll(n *node, k int, slowly bool) int {
	c, err := dialAsConsumer(n.listen, receiveBuffer)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	if err := c.SetReadDeadline(time.Now().Add(downloadTime)); err != nil {
		return 0
	}
	for i := range downloadsEach {
		if _, err := fmt.Fprintf(c, "GET /patterns/f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: d%d-%d\r\nDeadline-Ms: %d\r\n\r\n",
			host, k, i, downloadTime.Milliseconds()); err != nil {
			return 0
		}
	}
	var source io.Reader = c
	if slowly {
		source = slowReader{c, downloaderBytes, downloaderPause}
	}
	reader := bufio.NewReaderSize(source, downloaderBytes)
	for whole := range downloadsEach {
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			return whole
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || r.StatusCode != http.StatusOK {
			return whole
		}
	}
	return downloadsEach
}
