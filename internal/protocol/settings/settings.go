// Package settings reads an entry host's settings: JSON with comments.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
)

// Settings are what an entry host must be told; all else is in the configuration.
type Settings struct {
	// Name is the same after a restart; an entry host that replaces another may take its name.
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`

	CallerAddress   netip.AddrPort `json:"caller-address"`
	OperatorAddress netip.AddrPort `json:"operator-address"`
	PeerAddress     netip.AddrPort `json:"peer-address"`
	PlatformAddress netip.AddrPort `json:"platform-address"`
	// Peers are peer addresses in the same data centre, asked when the platform
	// can't be reached at the start.
	Peers []netip.AddrPort `json:"peers,omitempty"`

	Limits  Limits  `json:"limits,omitzero"`
	Log     Log     `json:"log,omitzero"`
	Claims  Claims  `json:"claims,omitzero"`
	Members Members `json:"members,omitzero"`
	// LogLevel is debug, info, warning or error.
	LogLevel string `json:"log-level,omitempty"`
	// ShutdownGrace bounds a graceful shutdown.
	ShutdownGrace fleet.Duration `json:"shutdown-grace,omitempty"`
}

// Limits bound what callers and upstreams may use.
type Limits struct {
	MaxBodyBytes    int            `json:"max-body-bytes,omitempty"`
	MaxAnswerBytes  int            `json:"max-answer-bytes,omitempty"`
	MaxHeaders      int            `json:"max-headers,omitempty"`
	MaxConnections  int            `json:"max-connections,omitempty"`
	MaxHeldRequests int            `json:"max-held-requests,omitempty"`
	UpstreamConns   int            `json:"upstream-connections,omitempty"`
	DefaultTimeout  fleet.Duration `json:"default-timeout,omitempty"`
	MaxTimeout      fleet.Duration `json:"max-timeout,omitempty"`
}

// Log tells what the platform's log does.
type Log struct {
	// Retention is how long the log keeps entries; it must be the platform's own figure.
	Retention fleet.Duration `json:"retention,omitempty"`
	// RestoreWait is how long to wait for a snapshot after records were lost.
	RestoreWait fleet.Duration `json:"restore-wait,omitempty"`
}

// Claims steers the claims of non-idempotent requests.
type Claims struct {
	// Streams must be the same at all entry hosts.
	Streams int `json:"streams,omitempty"`
	// Window is the age up to which a request id is remembered.
	Window    fleet.Duration `json:"window,omitempty"`
	GroupWait fleet.Duration `json:"group-wait,omitempty"`
}

// Members steers when an entry host counts as gone.
type Members struct {
	// IsolationBound is how long an entry host dispatches after it lost the platform alone.
	IsolationBound fleet.Duration `json:"isolation-bound,omitempty"`
	// RemovalBound is how long one must be missing from the live list before others do without it.
	RemovalBound fleet.Duration `json:"removal-bound,omitempty"`
	// ReportInterval is how often positions are reported while nothing waits for them.
	ReportInterval fleet.Duration `json:"report-interval,omitempty"`
	// FailBound is how long a host must be down before it counts as failed.
	FailBound fleet.Duration `json:"fail-bound,omitempty"`
	// LostBound is how long a data centre must be silent before it counts as lost.
	LostBound fleet.Duration `json:"lost-bound,omitempty"`
}

// Default are the settings where a file says nothing.
func Default() Settings {
	return Settings{
		Limits: Limits{
			MaxBodyBytes: 1 << 20, MaxAnswerBytes: 8 << 20, MaxHeaders: 64, MaxConnections: 10000, MaxHeldRequests: 5000,
			UpstreamConns: 64, DefaultTimeout: fleet.Duration(30 * time.Second), MaxTimeout: fleet.Duration(10 * time.Minute),
		},
		Log:    Log{Retention: fleet.Duration(time.Hour), RestoreWait: fleet.Duration(15 * time.Second)},
		Claims: Claims{Streams: 4, Window: fleet.Duration(20 * time.Minute), GroupWait: fleet.Duration(20 * time.Millisecond)},
		Members: Members{
			IsolationBound: fleet.Duration(30 * time.Second), RemovalBound: fleet.Duration(90 * time.Second),
			ReportInterval: fleet.Duration(30 * time.Second), FailBound: fleet.Duration(5 * time.Second),
			LostBound: fleet.Duration(15 * time.Second),
		},
		LogLevel:      "info",
		ShutdownGrace: fleet.Duration(30 * time.Second),
	}
}

// Load reads and checks a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return Settings{}, errors.Wrap(err, "read the settings")
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, path)
}

// Parse reads settings and checks them; unknown keys are refused with their place.
func Parse(data []byte) (Settings, error) {
	s := Default()
	if err := parseInto(data, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Validate()
}

// parseInto reads JSON with comments over the defaults in into.
func parseInto(data []byte, into any) error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return errors.Wrap(err, "not JSON with comments")
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return locate(plain, err)
	}
	return nil
}

var unknownField = regexp.MustCompile(`unknown field "(.*)"`)

// locate adds the line and column that an error of the decoder speaks of.
func locate(data []byte, err error) error {
	offset := int64(-1)
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch match := unknownField.FindStringSubmatch(err.Error()); {
	case match != nil:
		key := regexp.MustCompile(regexp.QuoteMeta(`"`+match[1]+`"`) + `\s*:`)
		if place := key.FindIndex(data); place != nil {
			offset = int64(place[0])
		}
		err = errors.Newf("unknown key %q; see the settings page for the known ones", match[1])
	case errors.As(err, &wrongType):
		offset = wrongType.Offset
	case errors.As(err, &syntax):
		offset = syntax.Offset
	}
	if offset < 0 {
		return err
	}
	before := string(data[:offset])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndex(before, "\n")
	return errors.Wrapf(err, "line %d, column %d", line, column)
}

// Validate tells the first thing that is wrong.
func (s Settings) Validate() error {
	if s.Name == "" || s.DataCentre == "" {
		return errors.New("name and data-centre must be set")
	}
	for name, address := range map[string]netip.AddrPort{
		"caller-address": s.CallerAddress, "operator-address": s.OperatorAddress,
		"peer-address": s.PeerAddress, "platform-address": s.PlatformAddress,
	} {
		if !address.IsValid() {
			return errors.Newf("%s must be an IP and a port", name)
		}
	}
	if err := s.Limits.validate(); err != nil {
		return err
	}
	if s.Claims.Streams < 1 || s.Claims.Window <= 0 {
		return errors.New("claims: streams and window must be above 0")
	}
	if longest := s.Log.Retention/2 - s.Limits.MaxTimeout; s.Claims.Window > longest {
		return errors.Newf("claims: window must be at most half of log retention less max-timeout, here %s", time.Duration(longest))
	}
	if s.Members.RemovalBound < 2*s.Members.IsolationBound {
		return errors.New("members: removal-bound must be at least twice isolation-bound")
	}
	return nil
}

func (l Limits) validate() error {
	for _, limit := range []struct {
		name  string
		value int
	}{
		{"max-body-bytes", l.MaxBodyBytes},
		{"max-answer-bytes", l.MaxAnswerBytes},
		{"max-headers", l.MaxHeaders},
		{"max-connections", l.MaxConnections},
		{"max-held-requests", l.MaxHeldRequests},
		{"upstream-connections", l.UpstreamConns},
		{"default-timeout", int(l.DefaultTimeout)},
		{"max-timeout", int(l.MaxTimeout)},
	} {
		if limit.value <= 0 {
			return errors.New(fmt.Sprintf("limits: %s must be above 0", limit.name))
		}
	}
	return nil
}
