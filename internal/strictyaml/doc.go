// Package strictyaml reads YAML documents of configuration: strictly, and with
// every fault named at once by path and line. The library beneath stops at the
// first fault and is lenient with scalars (it reads 8.5 as the whole number 8);
// it still reads the syntax and converts each scalar.
package strictyaml
