package main

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/bundle"
)

// newBundleCommand returns the group of commands around bundles.
func newBundleCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "bundle",
		Short: "Check, sign and compare bundles of configuration",
		Long: "Check, sign and compare bundles. Rolling one out: edit it and raise its version,\n" +
			"`bundle check --previous OLD NEW`, `bundle diff OLD NEW`, have it reviewed,\n" +
			"`bundle sign`, and publish the signed file in the configuration service.",
	}
	c.AddCommand(newKeygenCommand(), newSignCommand(), newCheckCommand(), newDiffCommand(), newHashKeyCommand())
	return c
}

func newSignCommand() *cobra.Command {
	var keyFile, out string
	c := &cobra.Command{
		Use:   "sign FILE",
		Short: "Check a bundle and sign it",
		Long:  "Check a bundle and write it with a signature line at its end. A bundle with\nproblems is not signed.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(keyFile)
			if err != nil {
				return fmt.Errorf("read key: %w", err)
			}
			key, err := bundle.ParsePrivateKey(text)
			if err != nil {
				return err
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("read bundle: %w", err)
			}
			signed := bundle.Sign(raw, key)
			if _, err := bundle.Parse(signed); err != nil {
				return reportProblems(cmd.ErrOrStderr(), formatTable, err)
			}
			return writeOut(cmd.OutOrStdout(), out, signed)
		},
	}
	c.Flags().StringVar(&keyFile, "key", "", "file of the private key (required)")
	c.Flags().StringVar(&out, "out", "", "file to write; standard output if empty")
	must(c.MarkFlagRequired("key"))
	return c
}

// writeOut writes to the file, or to out when file is empty.
func writeOut(out io.Writer, file string, content []byte) error {
	if file == "" {
		_, err := out.Write(content)
		return err
	}
	return os.WriteFile(file, content, 0o644)
}

// checkOptions are the flags of `wheatseam bundle check`.
type checkOptions struct {
	format   outputFormat
	keys     []string
	previous string
}

func newCheckCommand() *cobra.Command {
	var o checkOptions
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Name every problem of a bundle, with path and line",
		Long: "Name every problem of a bundle, with path and line. With --key its signature is\n" +
			"verified too; with --previous it must be a fit successor of that bundle.\n" +
			"Exits 1 when there are problems.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return o.run(cmd, args[0]) },
	}
	addOutputFlag(c, &o.format)
	c.Flags().StringArrayVar(&o.keys, "key", nil, "file of a trusted public key; may be repeated")
	c.Flags().StringVar(&o.previous, "previous", "", "file of the bundle now in force")
	return c
}

func (o *checkOptions) run(cmd *cobra.Command, file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read bundle: %w", err)
	}
	if err := o.verify(raw); err != nil {
		return err
	}
	b, err := bundle.Parse(raw)
	if err == nil && o.previous != "" {
		err = o.checkSuccessor(b, raw)
	}
	if err != nil {
		return reportProblems(cmd.OutOrStdout(), o.format, err)
	}
	if o.format == formatJSON {
		return writeJSON(cmd.OutOrStdout(), []bundle.Problem{})
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: version %d of %s is sound\n", file, b.Version, b.Deployment)
	return nil
}

func (o *checkOptions) verify(raw []byte) error {
	if len(o.keys) == 0 {
		return nil
	}
	var keys []ed25519.PublicKey
	for _, file := range o.keys {
		text, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("read key: %w", err)
		}
		key, err := bundle.ParsePublicKey(text)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		keys = append(keys, key)
	}
	return bundle.Verify(raw, keys)
}

// checkSuccessor checks next, read from raw, against the previous bundle.
func (o *checkOptions) checkSuccessor(next *bundle.Bundle, raw []byte) error {
	current, err := parseFile(o.previous)
	if err != nil {
		return fmt.Errorf("previous bundle: %v", err)
	}
	err = bundle.CheckSuccessor(current, next)
	var check *bundle.CheckError
	if errors.As(err, &check) {
		check.Locate(raw)
	}
	return err
}

func parseFile(file string) (*bundle.Bundle, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read bundle: %w", err)
	}
	b, err := bundle.Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return b, nil
}

// reportProblems prints the problems of a *bundle.CheckError and returns
// errFound; any other error is returned as it is.
func reportProblems(out io.Writer, format outputFormat, err error) error {
	var check *bundle.CheckError
	if !errors.As(err, &check) {
		return err
	}
	var rows [][]string
	for _, p := range check.Problems {
		rows = append(rows, []string{strconv.Itoa(p.Line), p.Path, p.Message})
	}
	if err := format.write(out, check.Problems, []string{"LINE", "PATH", "PROBLEM"}, rows); err != nil {
		return err
	}
	return errFound
}

func newDiffCommand() *cobra.Command {
	var format outputFormat
	var exitCode bool
	c := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Show what changes from one bundle to another",
		Long: "Show what changes from one bundle to another, by the names of things and not by\n" +
			"lines. Key hashes are shortened. Exits 0; with --exit-code 1 if they differ.",
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			before, err := parseFile(args[0])
			if err != nil {
				return err
			}
			after, err := parseFile(args[1])
			if err != nil {
				return err
			}
			changes := bundle.Diff(before, after)
			if err := printChanges(cmd.OutOrStdout(), format, changes); err != nil {
				return err
			}
			if exitCode && len(changes) > 0 {
				return errFound
			}
			return nil
		},
	}
	addOutputFlag(c, &format)
	c.Flags().BoolVar(&exitCode, "exit-code", false, "exit 1 if the bundles differ")
	return c
}

func printChanges(out io.Writer, format outputFormat, changes []bundle.Change) error {
	if format == formatJSON {
		return writeJSON(out, append([]bundle.Change{}, changes...))
	}
	for _, change := range changes {
		if _, err := fmt.Fprintln(out, change); err != nil {
			return err
		}
	}
	return nil
}
