"""Days for the users' bench that mix joining and leaving targets, lost primaries and late orders."""
