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

// newBundleCommand returns the commands for bundles.
func newBundleCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "bundle",
		Short: "Check, sign and compare configuration bundles",
		Long: "Check, sign and compare bundles. To roll one out: edit it and raise its version,\n" +
			"run `bundle check --previous OLD NEW` and `bundle diff OLD NEW`, have it reviewed,\n" +
			"run `bundle sign`, and publish the signed file in the configuration service.",
	}
	c.AddCommand(newKeygenCommand(), newSignCommand(), newCheckCommand(), newDiffCommand(), newHashKeyCommand())
	return c
}

func newSignCommand() *cobra.Command {
	var keyFile, out string
	c := &cobra.Command{
		Use:   "sign FILE",
		Short: "Check a bundle and sign it",
		Long:  "Check a bundle and write it with a signature line at its end. An invalid bundle\nis not signed.",
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
			return writeOutput(cmd.OutOrStdout(), out, signed)
		},
	}
	c.Flags().StringVar(&keyFile, "key", "", "private key file (required)")
	c.Flags().StringVar(&out, "out", "", "output file; standard output if empty")
	must(c.MarkFlagRequired("key"))
	return c
}

// writeOutput writes content to the file, or to out if file is empty.
func writeOutput(out io.Writer, file string, content []byte) error {
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
		Short: "Report every problem of a bundle with its path and line",
		Long: "Report every problem of a bundle with its path and line. With --key the signature\n" +
			"is verified as well; with --previous the bundle must be a valid successor of that\n" +
			"bundle. The exit code is 1 if there are problems.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return o.run(cmd, args[0]) },
	}
	addOutputFlag(c, &o.format)
	c.Flags().StringArrayVar(&o.keys, "key", nil, "trusted public key file; may be repeated")
	c.Flags().StringVar(&o.previous, "previous", "", "file of the currently active bundle")
	return c
}

func (o *checkOptions) run(cmd *cobra.Command, file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read bundle: %w", err)
	}
	if err := o.verifySignature(raw); err != nil {
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
	fmt.Fprintf(cmd.OutOrStdout(), "%s: version %d of %s is valid\n", file, b.Version, b.Deployment)
	return nil
}

func (o *checkOptions) verifySignature(raw []byte) error {
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

// checkSuccessor checks that next may replace the previous bundle. raw is the
// document of next; it provides the line numbers of problems.
func (o *checkOptions) checkSuccessor(next *bundle.Bundle, raw []byte) error {
	current, err := parseBundleFile(o.previous)
	if err != nil {
		return fmt.Errorf("previous bundle: %v", err)
	}
	err = bundle.CheckSuccessor(current, next)
	var check *bundle.CheckError
	if errors.As(err, &check) {
		check.SetLines(raw)
	}
	return err
}

func parseBundleFile(file string) (*bundle.Bundle, error) {
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
// errNegativeResult. It returns any other error unchanged.
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
	return errNegativeResult
}

func newDiffCommand() *cobra.Command {
	var format outputFormat
	var exitCode bool
	c := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Show the changes from one bundle to another",
		Long: "Show the changes from one bundle to another, matching list items by name. Key\n" +
			"hashes are shortened. With --exit-code, the exit code is 1 if the bundles differ.",
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			before, err := parseBundleFile(args[0])
			if err != nil {
				return err
			}
			after, err := parseBundleFile(args[1])
			if err != nil {
				return err
			}
			changes := bundle.Diff(before, after)
			if err := printChanges(cmd.OutOrStdout(), format, changes); err != nil {
				return err
			}
			if exitCode && len(changes) > 0 {
				return errNegativeResult
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
