package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/follower"
	"hibiscusline/recorder"
)

const (
	defaultTimeout = 2 * time.Second
	// maxReplyBytes bounds the body of a reply: the service's own limit of a read, one more record and the framing.
	maxReplyBytes = recorder.MaxReadBytes + recorder.MaxRecordBytes + 64<<10
)

// Config configures a Client.
type Config struct {
	Address netip.AddrPort
	Stream  string
	// Timeout is the time limit of one call. Zero means two seconds.
	Timeout time.Duration
}

// Client calls the log service. It is safe for concurrent use.
type Client struct {
	config       Config
	recordsURL   string
	http         *http.Client
	trafficBytes atomic.Uint64
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
	client.http = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DialContext: client.dial,
	}}
	return client
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read returns at most limit records, starting at the given offset or at the first retained one, whichever is later.
func (c *Client) Read(ctx context.Context, from applier.Offset, limit int) (Batch, error) {
	target := c.recordsURL + "?from=" + strconv.FormatUint(uint64(from), 10) + "&limit=" + strconv.Itoa(limit)
	var reply recorder.ReadReply
	if err := c.call(ctx, http.MethodGet, target, nil, &reply); err != nil {
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
	data, err := applier.Encode(e)
	if err != nil {
		return 0, err
	}
	if len(data) > recorder.MaxRecordBytes {
		return 0, errors.Errorf("record of %d bytes exceeds the limit of %d bytes", len(data), recorder.MaxRecordBytes)
	}
	var reply recorder.AppendReply
	if err := c.call(ctx, http.MethodPost, c.recordsURL, data, &reply); err != nil {
		return 0, errors.Wrap(err, "append to the log")
	}
	return applier.Offset(reply.Offset), nil
}

func (c *Client) call(ctx context.Context, method, target string, body []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return replyError(response.Status, data)
	}
	return errors.Wrap(cbor.Unmarshal(data, reply), "decode reply")
}

func replyError(status string, data []byte) error {
	var reply recorder.ErrorReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return errors.Errorf("log service answered %s", status)
	}
	return errors.WithMessage(&reply, status)
}
