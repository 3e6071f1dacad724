// Package settings reads the settings file of an entry host, which is JSON with comments.
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

// Settings are the local settings of an entry host; everything else is in the
// configuration document.
type Settings struct {
	// Name identifies the entry host across restarts. An entry host that replaces another
	// may use its name.
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`

	CallerAddress   netip.AddrPort `json:"caller-address"`
	OperatorAddress netip.AddrPort `json:"operator-address"`
	PeerAddress     netip.AddrPort `json:"peer-address"`
	PlatformAddress netip.AddrPort `json:"platform-address"`
	// Peers are the peer addresses of entry hosts in the same data centre. They are asked
	// for the state if the platform can't be reached at start-up.
	Peers []netip.AddrPort `json:"peers,omitempty"`

	Limits  Limits           `json:"limits,omitzero"`
	Log     Log              `json:"log,omitzero"`
	Claims  Claims           `json:"claims,omitzero"`
	Members MembershipBounds `json:"members,omitzero"`
	// LogLevel is debug, info, warning or error.
	LogLevel string `json:"log-level,omitempty"`
	// ShutdownGrace bounds a graceful shutdown.
	ShutdownGrace fleet.Duration `json:"shutdown-grace,omitempty"`
}

// Limits are bounds on requests of callers, on answers and on connections.
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

// Log holds the settings for the platform's log.
type Log struct {
	// Retention is how long the log keeps entries. It must equal the platform's setting.
	Retention fleet.Duration `json:"retention,omitempty"`
	// RestoreWait is how long to wait for a snapshot after the log lost records, before a
	// restore begins.
	RestoreWait fleet.Duration `json:"restore-wait,omitempty"`
}

// Claims holds the settings for the claims of non-idempotent requests.
type Claims struct {
	// Streams is the number of claim streams; it must be the same at all entry hosts.
	Streams int `json:"streams,omitempty"`
	// Window is the age up to which a request id is kept to detect duplicates.
	Window fleet.Duration `json:"window,omitempty"`
	// BatchDelay is how long claims are collected for one append.
	BatchDelay fleet.Duration `json:"group-wait,omitempty"`
}

// MembershipBounds holds the time limits after which entry hosts, upstream hosts and data centres
// count as unavailable.
type MembershipBounds struct {
	// IsolationBound is how long an entry host keeps dispatching after it alone lost contact
	// with the platform.
	IsolationBound fleet.Duration `json:"isolation-bound,omitempty"`
	// RemovalBound is how long an entry host must be missing from the live list before the
	// others proceed without it: they remove it from the members, and a restore does not
	// wait for its offer.
	RemovalBound fleet.Duration `json:"removal-bound,omitempty"`
	// ReportInterval is the interval between position reports while nothing waits for them.
	ReportInterval fleet.Duration `json:"report-interval,omitempty"`
	// FailBound is how long a host must be down before it counts as failed.
	FailBound fleet.Duration `json:"fail-bound,omitempty"`
	// LostBound is how long a data centre must be unresponsive before it counts as lost.
	LostBound fleet.Duration `json:"lost-bound,omitempty"`
}

// Default returns the defaults for settings that a file omits.
func Default() Settings {
	return Settings{
		Limits: Limits{
			MaxBodyBytes: 1 << 20, MaxAnswerBytes: 8 << 20, MaxHeaders: 64, MaxConnections: 10000, MaxHeldRequests: 5000,
			UpstreamConns: 64, DefaultTimeout: fleet.Duration(30 * time.Second), MaxTimeout: fleet.Duration(10 * time.Minute),
		},
		Log:    Log{Retention: fleet.Duration(time.Hour), RestoreWait: fleet.Duration(15 * time.Second)},
		Claims: Claims{Streams: 4, Window: fleet.Duration(20 * time.Minute), BatchDelay: fleet.Duration(20 * time.Millisecond)},
		Members: MembershipBounds{
			IsolationBound: fleet.Duration(30 * time.Second), RemovalBound: fleet.Duration(90 * time.Second),
			ReportInterval: fleet.Duration(30 * time.Second), FailBound: fleet.Duration(5 * time.Second),
			LostBound: fleet.Duration(15 * time.Second),
		},
		LogLevel:      "info",
		ShutdownGrace: fleet.Duration(30 * time.Second),
	}
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return Settings{}, errors.Wrap(err, "read the settings")
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, path)
}

// Parse decodes and validates settings. Errors of unknown keys and of syntax include the
// line and column.
func Parse(data []byte) (Settings, error) {
	s := Default()
	if err := parseInto(data, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Validate()
}

// parseInto decodes JSON with comments into target, which holds the defaults.
func parseInto(data []byte, target any) error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return errors.Wrap(err, "not JSON with comments")
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return withPosition(plain, err)
	}
	return nil
}

var unknownField = regexp.MustCompile(`unknown field "(.*)"`)

// withPosition adds the line and column to an error of the JSON decoder, if they can be
// found.
func withPosition(data []byte, err error) error {
	offset := int64(-1)
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch match := unknownField.FindStringSubmatch(err.Error()); {
	case match != nil:
		key := regexp.MustCompile(regexp.QuoteMeta(`"`+match[1]+`"`) + `\s*:`)
		if location := key.FindIndex(data); location != nil {
			offset = int64(location[0])
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

// Validate returns an error for the first invalid setting.
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
	if maxWindow := s.Log.Retention/2 - s.Limits.MaxTimeout; s.Claims.Window > maxWindow {
		return errors.Newf("claims: window must be at most half of log retention less max-timeout, here %s", time.Duration(maxWindow))
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
