package weirctl

// This file has the commands about members.

import (
	"io"
	"net/url"
)

var memberCommands = []command{
	{"members forget", exactly(2), membersForget, `  weirctl members forget ADDR ID            ` +
		`a member is gone for good: its group waits for it no longer, what it alone held is lost
`},
}

func membersForget(args []string, out io.Writer) error {
	return postAndPrint(args[0], "/members/"+url.PathEscape(args[1])+"/forget", out)
}
