"""What operators ask of a control process over HTTP."""
