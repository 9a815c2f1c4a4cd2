// Package tree reads the tree of settings: a directory of INI files with
// firm-wide values at the root. Each deployment, service and caller inherits
// every field that it does not set.
//
// # Layout
//
//	firm.ini
//	Erbacee/deployment.ini
//	Erbacee/LabelDesk/service.ini
//	Erbacee/LabelDesk/stall-7.ini
//
// # Usage
//
//	files, err := tree.Read(os.DirFS("settings"))
//	settings, err := tree.Parse(files)
//	inForce := settings.Resolve("Erbacee", "LabelDesk", "stall-7")
//	fmt.Println(inForce.ExtraLoad)
//
// Parse reports all problems of all files in one *Error of KindInvalid; each
// Problem names file, line, section and field. A tree is immutable after Parse
// and safe for concurrent use.
package tree
