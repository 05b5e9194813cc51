package peer

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// maxGreeting bounds the envelope that opens a connection.
const maxGreeting = 1024

// greet opens a dialled connection: it sends this daemon's name and checks
// that the answer is host's.
func (t *Transport) greet(conn net.Conn, host string) (Sender, error) {
	if err := send(conn, t.envelope()); err != nil {
		return Sender{}, err
	}
	env, _, err := decode(byteReader{conn}, maxGreeting)
	if err != nil {
		return Sender{}, err
	}
	if env.ErrorCode != "" || env.Error != "" {
		return Sender{}, remoteError(host, "greeting", env)
	}
	if env.From != host {
		return Sender{}, fmt.Errorf("%w: %q answered for %q", ErrIdentity, env.From, host)
	}
	return senderOf(env), checkVersion(env)
}

// welcome opens an accepted connection: it checks the peer's name and answers.
func (t *Transport) welcome(conn net.Conn) (Sender, error) {
	env, _, err := decode(byteReader{conn}, maxGreeting)
	if err != nil {
		return Sender{}, err
	}
	err = t.checkGreeting(conn, env)
	answer := t.envelope()
	if err != nil {
		answer.Error, answer.ErrorCode = err.Error(), codeOf(err)
	}
	return senderOf(env), errors.Join(err, send(conn, answer))
}

func (t *Transport) checkGreeting(conn net.Conn, env *wire.Envelope) error {
	if err := checkVersion(env); err != nil {
		return err
	}
	if env.From == "" || env.From == t.cfg.Host {
		return fmt.Errorf("%w: greeting of %q", ErrIdentity, env.From)
	}
	if tc, ok := conn.(*tls.Conn); ok {
		return checkPeerName(tc, env.From)
	}
	return nil
}

// checkVersion takes every release from MinVersion on, also newer ones: they
// keep the meaning of the fields that this release knows.
func checkVersion(env *wire.Envelope) error {
	if env.Version < MinVersion {
		return fmt.Errorf("%w: %d, need %d", ErrVersion, env.Version, MinVersion)
	}
	return nil
}

func send(conn net.Conn, env *wire.Envelope) error {
	frame, err := encode(env, maxGreeting)
	if err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return err
}

// remoteError turns the error of an answer into a typed one.
func remoteError(host, method string, env *wire.Envelope) error {
	if e, ok := codeErrors[env.ErrorCode]; ok {
		return fmt.Errorf("%w: %s says: %s", e, host, env.Error)
	}
	return &RemoteError{Host: host, Method: method, Message: env.Error}
}

// bounded runs f with a deadline on conn and takes the deadline off again.
func bounded(conn net.Conn, timeout time.Duration, f func() error) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := f(); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}
