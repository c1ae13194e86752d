"""Work that other instances do: delegated queries and relayed calls."""
