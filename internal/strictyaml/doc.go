// Package strictyaml decodes YAML configuration documents strictly and reports
// every problem at once with its path and line. The underlying YAML library stops
// at the first problem and is lenient with scalars (it decodes 8.5 into the integer
// 8), so it is used only to parse the syntax and to convert single scalars.
package strictyaml
