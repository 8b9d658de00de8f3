package dev.hibiscusreach.daemon

internal const val MODULE_NAME = "daemon"
