// Package tunnel connects this host to replicas, directly or through peers, as core/detour
// decides, and connects to replicas for peers that can't reach them.
//
// # Contract
//
// A connection through a peer behaves like a direct one. Bytes that were written may have
// arrived, whatever happens later; no byte is sent twice. A read returns io.EOF only if the
// replica closed the connection; if the replica reset it, or the peer or the session to it
// failed, the error is ErrBroken.
//
// A Server connects directly or not at all, and only to addresses of replicas.
package tunnel
