package replica

import (
	"errors"
	"net/url"
	"strings"
)

// ErrTargetChanges means that a request target can't be sent as it is.
var ErrTargetChanges = errors.New("request target can't be sent unchanged")

// requestURL returns the URL with which net/http sends a request target byte for byte. A target
// that begins with two slashes must not be opaque: it would be sent in the absolute form.
func requestURL(address, target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}, nil
	}
	rawPath, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(rawPath)
	if err != nil {
		return nil, ErrTargetChanges
	}
	u := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: rawPath, RawQuery: query, ForceQuery: hasQuery}
	if u.RequestURI() != target {
		return nil, ErrTargetChanges
	}
	return u, nil
}

// CheckTarget returns ErrTargetChanges if a request target can't be sent as it is.
func CheckTarget(target string) error {
	_, err := requestURL("", target)
	return err
}
