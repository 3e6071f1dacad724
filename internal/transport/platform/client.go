// Package platform is the client of the platform's HTTP interface.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
)

// callTimeout bounds one call, in addition to the time for which the call asks the
// platform to wait.
const callTimeout = 2 * time.Second

// Client sends one entry host's requests to the platform.
type Client struct {
	http    *httpconn.Client
	address netip.AddrPort
}

// New creates a client of the platform at address.
func New(client *httpconn.Client, address netip.AddrPort) *Client {
	return &Client{http: client, address: address}
}

// Append adds an entry to a stream and returns its offset. If it fails, the entry may
// still be in the log, unless httpconn.StageOf reports that nothing was sent.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var reply platformapi.AppendReply
	err := c.call(ctx, http.MethodPost, "/log/"+url.PathEscape(stream), data, 0, &reply)
	return reply.Offset, err
}

// Read returns entries of a stream from an offset on and waits for the first one for at
// most wait.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (platformapi.Batch, error) {
	path := fmt.Sprintf("/log/%s?from=%d&wait-ms=%d", url.PathEscape(stream), from, wait.Milliseconds())
	var batch platformapi.Batch
	err := c.call(ctx, http.MethodGet, path, nil, wait, &batch)
	return batch, err
}

// LiveList returns the live list.
func (c *Client) LiveList(ctx context.Context) (platformapi.LiveList, error) {
	var list platformapi.LiveList
	err := c.call(ctx, http.MethodGet, "/live", nil, 0, &list)
	return list, err
}

// Announce registers this entry host with the platform.
func (c *Client) Announce(ctx context.Context, self platformapi.EntryHost) error {
	body, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	return c.call(ctx, http.MethodPost, "/live/entry-hosts", body, 0, nil)
}

// Reboot asks for a reboot of a host. Repeated requests with the same operation id
// reboot it once.
func (c *Client) Reboot(ctx context.Context, host, operation string) error {
	body, err := json.Marshal(platformapi.Operation{ID: operation})
	if err != nil {
		return errors.Wrap(err, "reboot")
	}
	return c.call(ctx, http.MethodPost, "/hosts/"+url.PathEscape(host)+"/reboot", body, 0, nil)
}

// HostStatus returns the state of a host and of its last operation.
func (c *Client) HostStatus(ctx context.Context, host string) (platformapi.HostStatus, error) {
	var status platformapi.HostStatus
	err := c.call(ctx, http.MethodGet, "/hosts/"+url.PathEscape(host), nil, 0, &status)
	return status, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, wait time.Duration, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	answer, err := c.http.Do(ctx, c.address, httpconn.Request{Method: method, Path: path, Body: body})
	if err != nil {
		return errors.Wrapf(err, "platform %s %s", method, path)
	}
	if answer.Status/100 != 2 {
		return errors.Newf("platform %s %s: status %d: %s", method, path, answer.Status, answer.Body)
	}
	if reply == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(answer.Body, reply), "platform %s %s", method, path)
}
