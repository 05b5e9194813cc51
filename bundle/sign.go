package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"strings"
)

// signaturePrefix starts the last line of a signed bundle. The line is a YAML
// comment, so that a signed bundle is still a plain YAML document.
const signaturePrefix = "# wheatseam-signature: "

// signatureContext goes before the signed bytes, so that a signature given
// for anything else never passes for one of a bundle.
const signatureContext = "wheatseam bundle v1\n"

// keyIDBytes is the number of hash bytes in a key id.
const keyIDBytes = 8

// The errors of Open.
var (
	ErrUnsigned     = errors.New("bundle: no signature line at the end")
	ErrUnknownKey   = errors.New("bundle: signed by a key that is not trusted")
	ErrBadSignature = errors.New("bundle: signature does not match")
)

// KeyID names a public key: the first 8 bytes of its SHA-256 in hex.
func KeyID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:keyIDBytes])
}

// Sign returns raw followed by its signature line. An earlier signature line
// is replaced; raw need not end in a newline.
func Sign(raw []byte, key ed25519.PrivateKey) []byte {
	document := Document(raw)
	if !bytes.HasSuffix(document, []byte("\n")) {
		document = append(bytes.Clone(document), '\n')
	}
	signature := ed25519.Sign(key, signedBytes(document))
	public := key.Public().(ed25519.PublicKey)
	out := bytes.Clone(document)
	return fmt.Appendf(out, "%s%s %s\n", signaturePrefix, KeyID(public),
		base64.StdEncoding.EncodeToString(signature))
}

// Verify checks the signature against the trusted keys. Its error wraps
// ErrUnsigned, ErrUnknownKey or ErrBadSignature.
func Verify(signed []byte, keys []ed25519.PublicKey) error {
	document, line := splitSignature(signed)
	if line == "" {
		return ErrUnsigned
	}
	id, encoded, _ := strings.Cut(line, " ")
	signature, err := base64.StdEncoding.Strict().DecodeString(encoded)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBadSignature, err)
	}
	for _, key := range keys {
		if KeyID(key) != id {
			continue
		}
		if !ed25519.Verify(key, signedBytes(document), signature) {
			return ErrBadSignature
		}
		return nil
	}
	return fmt.Errorf("%w: key id %q", ErrUnknownKey, id)
}

// Open verifies a signed bundle and parses it. Nothing of a bundle that does
// not verify is parsed.
func VerifyAndParse(signed []byte, keys []ed25519.PublicKey) (*Bundle, error) {
	if len(signed) > MaxSize {
		return nil, fmt.Errorf("bundle: %d bytes, at most %d are allowed", len(signed), MaxSize)
	}
	if err := Verify(signed, keys); err != nil {
		return nil, err
	}
	return Parse(signed)
}

// Document returns raw without its signature line, if it has one.
func Document(raw []byte) []byte {
	document, _ := splitSignature(raw)
	return document
}

// splitSignature cuts the signature line off; line holds what follows the
// prefix and is empty when the last line is no signature.
func splitSignature(raw []byte) (document []byte, line string) {
	trimmed := bytes.TrimSuffix(raw, []byte("\n"))
	start := bytes.LastIndexByte(trimmed, '\n') + 1
	last := trimmed[start:]
	if !bytes.HasPrefix(last, []byte(signaturePrefix)) {
		return raw, ""
	}
	return raw[:start:start], string(last[len(signaturePrefix):])
}

func signedBytes(document []byte) []byte {
	return append([]byte(signatureContext), document...)
}

// The PEM block types of key files.
const (
	pemPublic  = "PUBLIC KEY"
	pemPrivate = "PRIVATE KEY"
)

// ParsePublicKey reads an ed25519 public key: PEM (PKIX), or base64 of its 32
// bytes.
func ParsePublicKey(text []byte) (ed25519.PublicKey, error) {
	block, _ := pem.Decode(text)
	if block == nil {
		key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, errors.New("bundle: public key is neither PEM nor base64 of 32 bytes")
		}
		return key, nil
	}
	parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("bundle: public key: %w", err)
	}
	key, ok := parsed.(ed25519.PublicKey)
	if !ok {
		return nil, fmt.Errorf("bundle: public key is %T, want ed25519", parsed)
	}
	return key, nil
}

// ParsePrivateKey reads an ed25519 private key in PEM (PKCS #8).
func ParsePrivateKey(text []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, errors.New("bundle: private key is not PEM")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("bundle: private key: %w", err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("bundle: private key is %T, want ed25519", parsed)
	}
	return key, nil
}

// MarshalPublicKey returns key in PEM (PKIX).
func MarshalPublicKey(key ed25519.PublicKey) ([]byte, error) {
	der, err := x509.MarshalPKIXPublicKey(key)
	if err != nil {
		return nil, fmt.Errorf("bundle: public key: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemPublic, Bytes: der}), nil
}

// MarshalPrivateKey returns key in PEM (PKCS #8).
func MarshalPrivateKey(key ed25519.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("bundle: private key: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemPrivate, Bytes: der}), nil
}
