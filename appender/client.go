package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/carrier"
	"hibiscusline/follower"
	"hibiscusline/hedger"
	"hibiscusline/recorder"
	"hibiscusline/waiter"
)

const (
	defaultTimeout = 2 * time.Second
	// maxReplyBytes bounds the body of a reply: the service's own limit of a read, one more record and the framing.
	maxReplyBytes = recorder.MaxReadBytes + recorder.MaxRecordBytes + 64<<10
)

// answerPromise is that a record is in the log, and read from it, after its author decided to append it. About half of the
// 2 s within which a key of a lost owner is served again have passed by then.
var answerPromise = waiter.Promise{Name: "served_again", Within: time.Second}

// Config configures a Client.
type Config struct {
	Address netip.AddrPort
	Stream  string
	// Timeout is the time limit of one call. Zero means two seconds.
	Timeout time.Duration
}

// Client calls the log service. It is safe for concurrent use.
type Client struct {
	config     Config
	recordsURL string
	// kept keeps its connections for later calls, and fresh opens one for each call.
	kept, fresh  *http.Client
	trafficBytes atomic.Uint64
	overdue      atomic.Uint64
}

// Batch is a run of records read from the log.
type Batch = follower.Batch

// New returns a client. It connects with the first call.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	client := &Client{
		config:     c,
		recordsURL: fmt.Sprintf("http://%s/streams/%s/records", c.Address, url.PathEscape(c.Stream)),
	}
	client.kept = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DialContext: client.dial,
	}}
	client.fresh = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: client.dial}}
	return client
}

// Close releases idle connections.
func (c *Client) Close() { c.kept.CloseIdleConnections() }

// Overdue returns the number of calls whose answer was overdue.
func (c *Client) Overdue() uint64 { return c.overdue.Load() }

// Read returns at most limit records, starting at the given offset or at the first retained one, whichever is later.
func (c *Client) Read(ctx context.Context, from applier.Offset, limit int) (Batch, error) {
	target := c.recordsURL + "?from=" + strconv.FormatUint(uint64(from), 10) + "&limit=" + strconv.Itoa(limit)
	var reply recorder.ReadReply
	if err := c.call(ctx, request{method: http.MethodGet, target: target, always: true}, &reply); err != nil {
		return Batch{}, errors.Wrap(err, "read the log")
	}
	return Batch{
		FirstRetained: applier.Offset(reply.First), Next: applier.Offset(reply.Next),
		Start: applier.Offset(reply.Start), Records: reply.Records,
	}, nil
}

// Append appends a record, without retries, and returns its offset. After an error the record may or may not be in the
// log.
func (c *Client) Append(ctx context.Context, e applier.Envelope) (applier.Offset, error) {
	return c.append(ctx, e, false)
}

// AppendInTime is Append for a record that a key waits for. The record is sent again while its answer is overdue, also if
// it was first sent on a new connection.
func (c *Client) AppendInTime(ctx context.Context, e applier.Envelope) (applier.Offset, error) {
	return c.append(ctx, e, true)
}

func (c *Client) append(ctx context.Context, e applier.Envelope, inTime bool) (applier.Offset, error) {
	data, err := applier.Encode(e)
	if err != nil {
		return 0, err
	}
	if len(data) > recorder.MaxRecordBytes {
		return 0, errors.Errorf("record of %d bytes exceeds the limit of %d bytes", len(data), recorder.MaxRecordBytes)
	}
	var reply recorder.AppendReply
	r := request{method: http.MethodPost, target: c.recordsURL, body: data, always: inTime}
	if err := c.call(ctx, r, &reply); err != nil {
		return 0, errors.Wrap(err, "append to the log")
	}
	return applier.Offset(reply.Offset), nil
}

// request is what a call sends.
type request struct {
	method, target string
	body           []byte
	// always means that the call is repeated when it is overdue, also on a new connection.
	always bool
}

// answer is the response to a call.
type answer struct {
	code   int
	status string
	data   []byte
}

// call calls the log service. It repeats a call that is overdue on a new connection, since the answer may be lost or the kept
// connection silent. A record has an id, so that it takes effect once.
func (c *Client) call(ctx context.Context, r request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	config := answerPromise.Hedge(waiter.Hold{}, 0)
	// The answer of a slow log is awaited until the timeout.
	config.Interval = c.config.Timeout
	// The parts of an answer after the first aren't noticed.
	config.Pause = 0
	config.OnOverdue = func(int) {
		c.overdue.Add(1)
		// Other kept connections may be silent as well.
		c.kept.CloseIdleConnections()
	}
	a, err := hedger.Do(ctx, config, func(ctx context.Context, attempt hedger.Attempt) (answer, error) {
		return c.send(ctx, r, attempt)
	})
	if err != nil {
		return err
	}
	if a.code/100 != 2 {
		return replyError(a.status, a.data)
	}
	return errors.Wrap(cbor.Unmarshal(a.data, reply), "decode reply")
}

func (c *Client) send(ctx context.Context, r request, attempt hedger.Attempt) (answer, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			// A log that gets more appends than it takes answers them late, and repeating those would add to them. A record
			// whose answer was lost is seen by reads.
			if !r.always && !i.Reused {
				attempt.Progress()
			}
		},
		GotFirstResponseByte: attempt.Progress,
	})
	request, err := http.NewRequestWithContext(ctx, r.method, r.target, bytes.NewReader(r.body))
	if err != nil {
		return answer{}, err
	}
	client := c.kept
	if attempt.Number > 0 {
		client = c.fresh
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{}, err
	}
	if err := carrier.CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return answer{}, err
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	return answer{code: response.StatusCode, status: response.Status, data: data}, err
}

func replyError(status string, data []byte) error {
	var reply recorder.ErrorReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return errors.Errorf("log service answered %s", status)
	}
	return errors.WithMessage(&reply, status)
}
