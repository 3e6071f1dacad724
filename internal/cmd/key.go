package cmd

import (
	"net/http"
	"os"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/access"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
)

const (
	// keyVariable is the environment variable with the key of an organisation.
	keyVariable = "HORNBEAMMAST_KEY"
	// maxKeyBytes bounds a key, so that the wrong file is not sent.
	maxKeyBytes = 4096
)

// keyed holds the flags shared by the commands that call as an organisation. The key is no argument,
// since the arguments of a process are visible to others.
type keyed struct {
	remote

	KeyFile string `help:"File with the key of an organisation; if left out, HORNBEAMMAST_KEY is used, if set." placeholder:"FILE"`
}

// callWithKey sends one request with the key, if there is one, and returns the answer.
func (k keyed) callWithKey(method, path string, body []byte) (httpconn.Answer, error) {
	header := http.Header{}
	key, err := k.key()
	if err != nil {
		return httpconn.Answer{}, &exitError{exitUsage, err}
	}
	if key != "" {
		header.Set("Authorization", access.Scheme+" "+key)
	}
	return k.send(httpconn.Request{Method: method, Path: path, Header: header, Body: body})
}

// key returns the key of the file or of the environment, or an empty text.
func (k keyed) key() (string, error) {
	source, key := keyVariable, os.Getenv(keyVariable)
	if k.KeyFile != "" {
		data, err := os.ReadFile(k.KeyFile)
		if err != nil {
			return "", errors.Wrap(err, "read the key (check --key-file)")
		}
		source, key = k.KeyFile, string(data)
		if strings.TrimSpace(key) == "" {
			return "", errors.Newf("%s is empty; write the key into it", source)
		}
	}
	key = strings.TrimSpace(key)
	if len(key) > maxKeyBytes || strings.IndexFunc(key, unicode.IsControl) >= 0 {
		return "", errors.Newf("%s holds no key; put one key there, on one line of at most %d bytes", source, maxKeyBytes)
	}
	return key, nil
}
