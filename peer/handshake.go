package peer

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// maxHandshakeBytes bounds the size of a handshake envelope.
const maxHandshakeBytes = 1024

// clientHandshake performs the peer handshake on a dialled connection: it sends this
// daemon's name and checks that the answer comes from host.
func (t *Transport) clientHandshake(conn net.Conn, host string) (Sender, error) {
	if err := writeHandshake(conn, t.envelope()); err != nil {
		return Sender{}, err
	}
	env, _, err := decode(byteReader{conn}, maxHandshakeBytes)
	if err != nil {
		return Sender{}, err
	}
	if env.ErrorCode != "" || env.Error != "" {
		return Sender{}, remoteError(host, "greeting", env)
	}
	if env.From != host {
		return Sender{}, fmt.Errorf("%w: a process of host %q answered a dial of host %q", ErrIdentity, env.From, host)
	}
	return senderOf(env), checkVersion(env)
}

// serverHandshake performs the peer handshake on an accepted connection: it checks the
// peer's name and answers.
func (t *Transport) serverHandshake(conn net.Conn) (Sender, error) {
	env, _, err := decode(byteReader{conn}, maxHandshakeBytes)
	if err != nil {
		return Sender{}, err
	}
	err = t.checkClientHandshake(conn, env)
	answer := t.envelope()
	if err != nil {
		answer.Error, answer.ErrorCode = err.Error(), codeOf(err)
	}
	return senderOf(env), errors.Join(err, writeHandshake(conn, answer))
}

func (t *Transport) checkClientHandshake(conn net.Conn, env *wire.Envelope) error {
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

// checkVersion accepts every version from MinVersion on. That includes newer ones,
// since they do not change the meaning of the fields that this release knows.
func checkVersion(env *wire.Envelope) error {
	if env.Version < MinVersion {
		return fmt.Errorf("%w: %d, need %d", ErrVersion, env.Version, MinVersion)
	}
	return nil
}

func writeHandshake(conn net.Conn, env *wire.Envelope) error {
	frame, err := encode(env, maxHandshakeBytes)
	if err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return err
}

// remoteError returns the typed error for the error in an answer.
func remoteError(host, method string, env *wire.Envelope) error {
	if e, ok := codeErrors[env.ErrorCode]; ok {
		return fmt.Errorf("%w: host %s answered: %s", e, host, env.Error)
	}
	return &RemoteError{Host: host, Method: method, Message: env.Error}
}

// withDeadline runs f with a deadline on conn and clears the deadline if f succeeds.
func withDeadline(conn net.Conn, timeout time.Duration, f func() error) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := f(); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}
