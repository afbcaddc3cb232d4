"""SIP user agent code shared by the SIP front and the SIP desk client: transactions over UDP and TCP."""
