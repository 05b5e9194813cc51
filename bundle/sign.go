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

// signatureLinePrefix is the start of the last line of a signed bundle. The line is
// a YAML comment, so that a signed bundle is still a valid YAML document.
const signatureLinePrefix = "# wheatseam-signature: "

// signatureContext is prepended to the signed bytes for domain separation: a
// signature made for another purpose is not valid for a bundle.
const signatureContext = "wheatseam bundle v1\n"

// keyIDBytes is the number of hash bytes in a key ID.
const keyIDBytes = 8

// The errors of VerifyAndParse.
var (
	ErrUnsigned     = errors.New("bundle: no signature line at the end")
	ErrUnknownKey   = errors.New("bundle: signed by a key that is not trusted")
	ErrBadSignature = errors.New("bundle: signature does not match")
)

// KeyID returns the ID of a public key: the first 8 bytes of its SHA-256 hash in
// hexadecimal.
func KeyID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:keyIDBytes])
}

// Sign returns raw followed by its signature line. An earlier signature line
// is replaced; raw need not end in a newline.
func Sign(raw []byte, key ed25519.PrivateKey) []byte {
	document := StripSignature(raw)
	if !bytes.HasSuffix(document, []byte("\n")) {
		document = append(bytes.Clone(document), '\n')
	}
	signature := ed25519.Sign(key, signedBytes(document))
	public := key.Public().(ed25519.PublicKey)
	out := bytes.Clone(document)
	return fmt.Appendf(out, "%s%s %s\n", signatureLinePrefix, KeyID(public),
		base64.StdEncoding.EncodeToString(signature))
}

// Verify checks the signature against the trusted keys. Errors wrap ErrUnsigned,
// ErrUnknownKey or ErrBadSignature.
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
	return fmt.Errorf("%w: key ID %q", ErrUnknownKey, id)
}

// VerifyAndParse verifies the signature of a bundle and then parses it. It parses
// nothing if the verification fails.
func VerifyAndParse(signed []byte, keys []ed25519.PublicKey) (*Bundle, error) {
	if len(signed) > MaxSignedBytes {
		return nil, fmt.Errorf("bundle: %d bytes; at most %d are allowed", len(signed), MaxSignedBytes)
	}
	if err := Verify(signed, keys); err != nil {
		return nil, err
	}
	return Parse(signed)
}

// StripSignature returns raw without its signature line, if any.
func StripSignature(raw []byte) []byte {
	document, _ := splitSignature(raw)
	return document
}

// splitSignature splits raw into the document and the signature line. line is the
// text after signatureLinePrefix, or empty if the last line is not a signature.
func splitSignature(raw []byte) (document []byte, line string) {
	trimmed := bytes.TrimSuffix(raw, []byte("\n"))
	start := bytes.LastIndexByte(trimmed, '\n') + 1
	lastLine := trimmed[start:]
	if !bytes.HasPrefix(lastLine, []byte(signatureLinePrefix)) {
		return raw, ""
	}
	return raw[:start:start], string(lastLine[len(signatureLinePrefix):])
}

func signedBytes(document []byte) []byte {
	return append([]byte(signatureContext), document...)
}

// The PEM block types of key files.
const (
	pemPublic  = "PUBLIC KEY"
	pemPrivate = "PRIVATE KEY"
)

// ParsePublicKey parses an ed25519 public key in PEM (PKIX) or as the base64
// encoding of its 32 bytes.
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
		return nil, fmt.Errorf("bundle: public key type is %T, not ed25519", parsed)
	}
	return key, nil
}

// ParsePrivateKey parses an ed25519 private key in PEM (PKCS #8).
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
		return nil, fmt.Errorf("bundle: private key type is %T, not ed25519", parsed)
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
