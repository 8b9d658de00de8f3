package dev.hibiscusreach.runtime

internal const val MODULE_NAME = "runtime"
