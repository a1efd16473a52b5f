"""Routes of callers' requests, the services behind them and their servers."""
