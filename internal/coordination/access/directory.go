// Package access identifies the organisation of a caller by the key that its request carries.
package access

import (
	"strings"

	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// Scheme is the authentication scheme that carries a key, and the challenge of a refusal.
const Scheme = "Token"

// Refusals of a request without a valid key. They do not hold what the caller sent.
var (
	ErrNoKey        = refusal("send the key of an organisation in one header, Authorization: " + Scheme + " KEY")
	ErrMalformedKey = refusal("the Authorization header is malformed; send Authorization: " + Scheme + " KEY")
	ErrRepeatedKey  = refusal("there is more than one Authorization header; send one key")
	ErrUnknownKey   = refusal("the key is unknown or withdrawn; ask the operators for a valid one")
)

func refusal(message string) error {
	return verdict.NotRunError(verdict.CauseUnauthorised, message)
}

// Directory holds the organisations of one version of the configuration by the digests of their
// keys. It does not change, and may be used concurrently.
type Directory struct {
	configuration *queue.Configuration
	organisations map[queue.KeyDigest]string
}

// New returns the directory of a configuration. A key of several organisations belongs to the first.
func New(c *queue.Configuration) *Directory {
	d := &Directory{configuration: c, organisations: map[queue.KeyDigest]string{}}
	for n := range c.Organisations {
		o := &c.Organisations[n]
		for _, key := range o.Keys {
			if _, ok := d.organisations[key]; !ok {
				d.organisations[key] = o.Name
			}
		}
	}
	return d
}

// Configuration returns the configuration of the directory. A request that takes both from here sees
// one version.
func (d *Directory) Configuration() *queue.Configuration { return d.configuration }

// Caller returns the organisation of a request with these Authorization headers, or an error with a
// verdict if its queue requires a key and it has no valid one. The organisation is empty if no keys
// are required, or on a public queue without a known key.
func (d *Directory) Caller(authorization []string, public bool) (organisation string, err error) {
	if !d.configuration.RequiresKeys {
		return "", nil
	}
	organisation, err = d.lookup(authorization)
	if public {
		return organisation, nil
	}
	return organisation, err
}

func (d *Directory) lookup(authorization []string) (string, error) {
	switch len(authorization) {
	case 0:
		return "", ErrNoKey
	case 1:
	default:
		return "", ErrRepeatedKey
	}
	// The name of a scheme is case-insensitive (RFC 9110, section 11.1).
	scheme, key, _ := strings.Cut(authorization[0], " ")
	key = strings.Trim(key, " ")
	if !strings.EqualFold(scheme, Scheme) || key == "" {
		return "", ErrMalformedKey
	}
	organisation, ok := d.organisations[queue.DigestKey(key)]
	if !ok {
		return "", ErrUnknownKey
	}
	return organisation, nil
}
