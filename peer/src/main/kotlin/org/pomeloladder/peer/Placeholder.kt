package org.pomeloladder.peer

internal const val PLACEHOLDER = 1
