package main

import (
	"bufio"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/bundle"
)

// apiKeyBytes is the number of random bytes in a generated API key.
const apiKeyBytes = 32

func newKeygenCommand() *cobra.Command {
	var out string
	var force bool
	c := &cobra.Command{
		Use:   "keygen",
		Short: "Generate a key pair for signing bundles",
		Long: "Generate an ed25519 key pair. The private key is written to OUT.key, readable only\n" +
			"by its owner; the public key to OUT.pub, for the settings of every daemon.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			id, err := writeKeyPair(out, force)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "key id %s in %s.key and %s.pub\n", id, out, out)
			return err
		},
	}
	c.Flags().StringVar(&out, "out", "", "path prefix of the two files (required)")
	c.Flags().BoolVar(&force, "force", false, "replace existing files")
	must(c.MarkFlagRequired("out"))
	return c
}

// writeKeyPair generates a key pair, writes both files and returns the key ID.
func writeKeyPair(out string, force bool) (string, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", fmt.Errorf("generate key: %w", err)
	}
	privateText, err := bundle.MarshalPrivateKey(private)
	if err != nil {
		return "", err
	}
	publicText, err := bundle.MarshalPublicKey(public)
	if err != nil {
		return "", err
	}
	if err := writeKeyFile(out+".key", privateText, 0o600, force); err != nil {
		return "", err
	}
	if err := writeKeyFile(out+".pub", publicText, 0o644, force); err != nil {
		return "", err
	}
	return bundle.KeyID(public), nil
}

// writeKeyFile creates a file with the given mode. If force is set, an existing file
// is removed first instead of overwritten, so that it does not keep its mode.
func writeKeyFile(file string, text []byte, mode os.FileMode, force bool) error {
	if force {
		if err := os.Remove(file); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("replace key: %w", err)
		}
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	if _, err := f.Write(text); err != nil {
		return errors.Join(fmt.Errorf("write key: %w", err), f.Close())
	}
	return f.Close()
}

func newHashKeyCommand() *cobra.Command {
	var generate bool
	c := &cobra.Command{
		Use:   "hash-key",
		Short: "Print the hash of a customer's API key for the bundle",
		Long: "Read an API key from the first line of standard input and print its hash for\n" +
			"key_hashes. With --generate, generate a key and print it to standard error; it\n" +
			"is not stored and cannot be displayed again.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			key, err := readOrGenerateAPIKey(cmd, generate)
			if err != nil {
				return err
			}
			hash := sha256.Sum256([]byte(key))
			_, err = fmt.Fprintln(cmd.OutOrStdout(), hex.EncodeToString(hash[:]))
			return err
		},
	}
	c.Flags().BoolVar(&generate, "generate", false, "generate a random key")
	return c
}

// readOrGenerateAPIKey reads a key from standard input, or generates one and prints
// it to standard error.
func readOrGenerateAPIKey(cmd *cobra.Command, generate bool) (string, error) {
	if generate {
		raw := make([]byte, apiKeyBytes)
		if _, err := rand.Read(raw); err != nil {
			return "", fmt.Errorf("generate key: %w", err)
		}
		key := base64.RawURLEncoding.EncodeToString(raw)
		_, err := fmt.Fprintln(cmd.ErrOrStderr(), key)
		return key, err
	}
	line, err := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", fmt.Errorf("read key: %w", err)
	}
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return "", errors.New("no key on standard input")
	}
	return key, nil
}
