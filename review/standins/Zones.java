import java.util.Map;

/** The zones of a deployment, their regions and the delays of the links between them. */
record Zones(Map<String, String> regions, double inZone, double crossZone, double crossRegion) {

  /** Returns the delay of a link in milliseconds, one way. */
  double oneWay(String from, String to) {
    if (from.equals(to)) {
      return inZone;
    }
    return regions.get(from).equals(regions.get(to)) ? crossZone : crossRegion;
  }
}
